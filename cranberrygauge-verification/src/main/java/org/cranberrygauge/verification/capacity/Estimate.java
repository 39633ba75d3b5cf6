package org.cranberrygauge.verification.capacity;

/**
 * A cost worked out at the target size.
 *
 * @param role The role that it belongs to.
 * @param quantity What it is.
 * @param form The form of the mechanism: today's, or the one that is needed.
 * @param value The value.
 * @param unit The unit.
 * @param budget The budget in the same unit; 0 where there is none.
 * @param basis The slopes and figures it follows from.
 * @param extrapolated Whether a size lies outside what was measured.
 */
public record Estimate(
        String role,
        String quantity,
        String form,
        double value,
        String unit,
        double budget,
        String basis,
        boolean extrapolated) {

    /**
     * Tells whether the value fits its budget.
     *
     * @return Whether it does, or has none.
     */
    public boolean fits() {
        return budget <= 0 || value <= budget;
    }
}
