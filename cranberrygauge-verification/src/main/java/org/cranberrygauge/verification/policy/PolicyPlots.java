package org.cranberrygauge.verification.policy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.emulator.replay.TraceProfile;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;
import org.knowm.xchart.style.Styler;

/** Draws the plots of docs/MEASUREMENTS.md. */
final class PolicyPlots {

    /** The width of a plot in pixels. */
    private static final int WIDTH = 900;

    /** The height of a plot in pixels. */
    private static final int HEIGHT = 500;

    /** The variants drawn in each plot. */
    private static final List<String> DRAWN_VARIANTS =
            List.of("ours", "round-robin", "first-in-first-out", "strict-priority", "per-gateway-static");

    /** The profiles whose attainment is drawn over time. */
    private static final List<TraceProfile> DRAWN_PROFILES = List.of(
            TraceProfile.HIGH_TIER_BURST,
            TraceProfile.CUSTOMER_FLOOD,
            TraceProfile.DATA_CENTRE_EVICTION,
            TraceProfile.SLOW_ENGINE);

    private PolicyPlots() {}

    static void write(Path directory, List<PolicyRun> runs) throws IOException {
        Files.createDirectories(directory);
        List<String> deployments =
                runs.stream().map(PolicyRun::deployment).distinct().toList();
        for (String deployment : deployments) {
            for (TraceProfile profile : DRAWN_PROFILES) {
                overTime(directory, runs, deployment, profile);
            }
            cost(directory, runs, deployment);
        }
    }

    /** Draws the attainment of the highest chat tier over time. */
    private static void overTime(Path directory, List<PolicyRun> runs, String deployment, TraceProfile profile)
            throws IOException {
        XYChart chart = chart(
                deployment + ", " + profile.text(), "seconds since the start", "attainment of the highest chat tier");
        for (PolicyRun run : runs) {
            boolean drawn = run.deployment().equals(deployment)
                    && run.profile() == profile
                    && DRAWN_VARIANTS.contains(run.variant().name());
            if (drawn) {
                Map<Integer, Double> points = run.result().goodBySecond();
                chart.addSeries(run.variant().name(), List.copyOf(points.keySet()), List.copyOf(points.values()));
            }
        }
        save(chart, directory.resolve(deployment + "-" + profile.text()));
    }

    /** Draws the cost of an answer within its targets against attainment, one point per profile. */
    private static void cost(Path directory, List<PolicyRun> runs, String deployment) throws IOException {
        XYChart chart = chart(
                deployment + ", one point a profile",
                "attainment of the highest chat tier",
                "cost of a thousand good answers");
        for (String variant : DRAWN_VARIANTS) {
            List<PolicyRun> points = runs.stream()
                    .filter(run -> run.deployment().equals(deployment)
                            && run.variant().name().equals(variant))
                    .toList();
            XYSeries series = chart.addSeries(
                    variant,
                    points.stream().map(PolicyRun::highTier).toList(),
                    points.stream()
                            .map(run -> run.result().costPerThousandGood())
                            .toList());
            series.setXYSeriesRenderStyle(XYSeries.XYSeriesRenderStyle.Scatter);
        }
        save(chart, directory.resolve(deployment + "-cost"));
    }

    private static XYChart chart(String title, String horizontal, String vertical) {
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle(horizontal)
                .yAxisTitle(vertical)
                .build();
        chart.getStyler().setLegendPosition(Styler.LegendPosition.OutsideE);
        return chart;
    }

    /** Saves a chart as PNG; the file name is given without its extension. */
    private static void save(XYChart chart, Path file) throws IOException {
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
