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
 * @param counted Whether it counts towards the sum of one node in the form that is needed.
 */
public record Estimate(
        String role,
        String quantity,
        String form,
        double value,
        String unit,
        double budget,
        String basis,
        boolean extrapolated,
        boolean counted) {

    /**
     * Tells whether the value fits its budget.
     *
     * @return Whether it does, or has none.
     */
    public boolean fits() {
        return budget <= 0 || value <= budget;
    }

    /**
     * Counts it towards the sum of one node.
     *
     * @return The counted estimate.
     */
    Estimate asCounted() {
        return new Estimate(role, quantity, form, value, unit, budget, basis, extrapolated, true);
    }
}
