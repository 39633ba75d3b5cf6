package org.cranberrygauge.verification.fleet;

import java.awt.Color;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Function;
import org.cranberrygauge.decision.fleet.FleetParameters;
import org.cranberrygauge.decision.fleet.FleetPlanner;
import org.cranberrygauge.decision.fleet.ForecastFleetPlanner;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.FleetPool;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;

/** Measures cost against attainment of each planner in each scenario, and writes the page and the plots. */
public final class FleetBench {

    private static final long SEED = 20_261_203;

    /** The target utilizations that planners run with. */
    private static final double[] UTILIZATIONS = {0.5, 0.6, 0.7, 0.8, 0.9};

    /** The sizes of the fixed fleet as fractions of the maximum. */
    private static final double[] FIXED_FRACTIONS = {0.4, 0.55, 0.7, 0.85, 1.0};

    private static final double PERCENT = 100;

    /** The width of a plot in pixels. */
    private static final int WIDTH = 800;

    /** The height of a plot in pixels. */
    private static final int HEIGHT = 500;

    private FleetBench() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments The output directory; docs/measurements if absent.
     * @throws IOException If the page or a plot can't be written.
     */
    public static void main(String[] arguments) throws IOException {
        Path directory = Path.of(arguments.length > 0 ? arguments[0] : "docs/measurements");
        Files.createDirectories(directory);
        StringBuilder page = new StringBuilder("""
                # Fleet: cost against attainment

                Written by `bin/bench fleet` (seed %d, virtual clock, one simulated day each). Planners: `forecast`
                is that of the product, `reactive` follows the current demand with the cheapest pools first, `fixed`
                keeps a share of all pools. Each is run at five settings: the target utilization, or the share of the
                largest fleet. A regular server costs 3 an hour, a cheap one 1. Attainment is the share of output
                tokens that started within the class's target; missed tokens are those of all tiers but the lowest
                that missed their target in the ten minutes after the eviction of a data centre of cheap servers.
                Servers give 200 tokens/s, start in 60 s, and the weight store loads one in 20 s.
                """.formatted(SEED));
        List<Function<FleetScenario.Kind, FleetScenario>> deployments =
                List.of(kind -> FleetScenario.skillingbrond(kind, SEED), kind -> FleetScenario.kartuli(kind, SEED));
        for (Function<FleetScenario.Kind, FleetScenario> deployment : deployments) {
            for (FleetScenario.Kind kind : FleetScenario.Kind.values()) {
                measure(deployment.apply(kind), page, directory);
            }
        }
        Files.writeString(directory.resolve("fleet.md"), page, StandardCharsets.UTF_8);
        System.out.println(page);
    }

    /** Simulates all planners in a scenario, appends their table to the page and writes the plot. */
    private static void measure(FleetScenario scenario, StringBuilder page, Path directory) throws IOException {
        String title = scenario.deployment() + ", " + scenario.name();
        XYChart chart = new XYChartBuilder()
                .width(WIDTH)
                .height(HEIGHT)
                .title(title)
                .xAxisTitle("cost of the day")
                .yAxisTitle("attainment of the worst class, %")
                .build();
        chart.getStyler().setChartBackgroundColor(Color.WHITE);
        String plot = "fleet-" + scenario.deployment() + "-" + scenario.name();
        page.append("\n## ").append(title).append("\n\n![cost against attainment](");
        page.append(plot).append(".png)\n\n| planner | setting | ");
        scenario.configuration()
                .classes()
                .forEach(each -> page.append(each.name()).append(" % | "));
        page.append("cost | cheap % | missed tokens |\n|---|---|");
        page.append("---|".repeat(scenario.configuration().classes().size() + 3))
                .append('\n');
        for (Map.Entry<String, List<Run>> planner : runs(scenario).entrySet()) {
            List<Double> costs = new ArrayList<>();
            List<Double> worst = new ArrayList<>();
            for (Run run : planner.getValue()) {
                FleetResult result = new FleetSimulation(scenario, run.planner()).run();
                costs.add(result.cost());
                worst.add(result.worstAttainment() * PERCENT);
                page.append(row(scenario, planner.getKey(), run.setting(), result));
            }
            chart.addSeries(planner.getKey(), costs, worst);
        }
        BitmapEncoder.saveBitmap(chart, directory.resolve(plot).toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Returns the runs by name of the planner. */
    private static Map<String, List<Run>> runs(FleetScenario scenario) {
        Map<String, List<Run>> runs = new LinkedHashMap<>();
        List<Run> forecast = new ArrayList<>();
        List<Run> reactive = new ArrayList<>();
        for (double utilization : UTILIZATIONS) {
            FleetParameters defaults = scenario.parameters();
            FleetParameters parameters = new FleetParameters(
                    defaults.tokensPerSecond(),
                    utilization,
                    defaults.startMillis(),
                    defaults.weightsMillis(),
                    defaults.idleMillis());
            forecast.add(new Run(utilization, new ForecastFleetPlanner(parameters)));
            reactive.add(new Run(utilization, new FleetPlanner.Reactive(parameters)));
        }
        List<Run> fixed = new ArrayList<>();
        for (double fraction : FIXED_FRACTIONS) {
            fixed.add(new Run(fraction, new FleetPlanner.Fixed(sizes(scenario, fraction))));
        }
        runs.put("forecast", forecast);
        runs.put("reactive", reactive);
        runs.put("fixed", fixed);
        return runs;
    }

    /** Sizes a fixed fleet: the given fraction of each cheap pool, and half of it, rounded up, of each regular one. */
    private static Map<String, Integer> sizes(FleetScenario scenario, double fraction) {
        Map<String, Integer> sizes = new LinkedHashMap<>();
        for (FleetPool pool : scenario.configuration().fleet()) {
            double size = pool.maximum() * fraction;
            sizes.put(pool.name(), (int) (pool.supply() == Supply.CHEAP ? Math.round(size) : Math.ceil(size / 2)));
        }
        return sizes;
    }

    private static String row(FleetScenario scenario, String planner, double setting, FleetResult result) {
        StringBuilder row = new StringBuilder(String.format(Locale.ROOT, "| %s | %.2f |", planner, setting));
        scenario.configuration()
                .classes()
                .forEach(each -> row.append(String.format(
                        Locale.ROOT, " %.2f |", result.attainment().get(each.name()) * PERCENT)));
        return row.append(String.format(
                        Locale.ROOT,
                        " %.1f | %.1f | %.0f |%n",
                        result.cost(),
                        result.cheapShare() * PERCENT,
                        result.missedTokens()))
                .toString();
    }

    /** A planner with the value of the setting that distinguishes its runs. */
    private record Run(double setting, FleetPlanner planner) {}
}
