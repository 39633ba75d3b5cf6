package org.cranberrygauge.verification.capacity;

import java.util.Locale;

/** Renders results as tables between two markers of a page. */
final class CapacityPage {

    /** The marker before the tables. */
    static final String BEGIN = "<!-- begin: written by bin/bench capacity -->";

    /** The marker after the tables. */
    static final String END = "<!-- end -->";

    /** The value from which numbers are written without decimals. */
    private static final double WHOLE_NUMBERS_FROM = 100;

    /** The value below which numbers are written with three decimals. */
    private static final double THREE_DECIMALS_BELOW = 1;

    private CapacityPage() {}

    /** Replaces the tables between the markers of a page. */
    static String replace(String page, CapacityResults results) {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IllegalArgumentException("page lacks the markers " + BEGIN + " and " + END);
        }
        return page.substring(0, begin + BEGIN.length()) + "\n" + tables(results) + page.substring(end);
    }

    /** Renders the tables as Markdown. */
    static String tables(CapacityResults results) {
        StringBuilder text = new StringBuilder("\n### Cost at the target size\n\n");
        text.append("| role | quantity | form | value | budget | holds | basis |\n|---|---|---|---:|---:|---|---|\n");
        for (Estimate estimate : results.estimates()) {
            text.append("| ").append(estimate.role());
            text.append(" | ").append(estimate.quantity());
            text.append(" | ").append(estimate.form()).append(estimate.counted() ? " *" : "");
            text.append(" | ").append(number(estimate.value())).append(' ').append(estimate.unit());
            text.append(" | ").append(estimate.budget() > 0 ? number(estimate.budget()) : "none");
            text.append(" | ").append(estimate.fits() ? "yes" : "**no**");
            text.append(" | ").append(estimate.basis());
            text.append(estimate.extrapolated() ? " (extrapolated)" : "").append(" |\n");
        }
        text.append("\n### Measured slopes\n\n");
        text.append("| slope | over | unit | at zero | per unit | r² | largest residual | sizes |\n");
        text.append("|---|---|---|---:|---:|---:|---:|---|\n");
        for (Slope slope : results.slopes()) {
            LinearFit fit = slope.fit();
            text.append("| ").append(slope.name());
            text.append(" | ").append(slope.sizeUnit());
            text.append(" | ").append(slope.valueUnit());
            text.append(" | ").append(number(fit.intercept()));
            text.append(" | ").append(String.format(Locale.ROOT, "%.4g", fit.slope()));
            text.append(" | ").append(String.format(Locale.ROOT, "%.3f", fit.determination()));
            text.append(" | ").append(number(fit.largestResidual()));
            text.append(" | ").append(number(slope.samples().get(0).x())).append(" to ");
            text.append(number(slope.samples().get(slope.samples().size() - 1).x()))
                    .append(" |\n");
        }
        return text.append('\n').toString();
    }

    private static String number(double value) {
        if (Math.abs(value) >= WHOLE_NUMBERS_FROM) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) < THREE_DECIMALS_BELOW ? "%.3f" : "%.1f", value);
    }
}
