package org.cranberrygauge.verification.capacity;

import java.util.Locale;

/**
 * Writes results as tables between two marks of a page.
 *
 * <p>Stateless and safe for use by several threads.
 */
final class CapacityPage {

    /** The mark before the tables. */
    static final String BEGIN = "<!-- begin: written by bin/bench capacity -->";

    /** The mark after the tables. */
    static final String END = "<!-- end -->";

    /** The limit below which a number is written with decimals. */
    private static final double WHOLE_FROM = 100;

    /** The limit below which a number is written with three decimals. */
    private static final double DECIMALS_BELOW = 1;

    /** Prevents instances. */
    private CapacityPage() {}

    /**
     * Replaces the tables of a page.
     *
     * @param page The page, with both marks.
     * @param results The results.
     * @return The page with the tables of the results.
     */
    static String replace(String page, CapacityResults results) {
        int begin = page.indexOf(BEGIN);
        int end = page.indexOf(END);
        if (begin < 0 || end < begin) {
            throw new IllegalArgumentException("the page lacks its marks " + BEGIN + " and " + END);
        }
        return page.substring(0, begin + BEGIN.length()) + "\n" + tables(results) + page.substring(end);
    }

    /**
     * Writes the tables.
     *
     * @param results The results.
     * @return The tables as Markdown.
     */
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

    /**
     * Writes a number.
     *
     * @param value The number.
     * @return The text.
     */
    private static String number(double value) {
        if (Math.abs(value) >= WHOLE_FROM) {
            return String.format(Locale.ROOT, "%,.0f", value);
        }
        return String.format(Locale.ROOT, Math.abs(value) < DECIMALS_BELOW ? "%.3f" : "%.1f", value);
    }
}
