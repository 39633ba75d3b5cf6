package org.cranberrygauge.verification.capacity;

/**
 * An estimated cost at the target size.
 *
 * @param role The role of a node or the mechanism that it belongs to.
 * @param quantity What is estimated.
 * @param form The form of the mechanism: today's, or the one needed at the target size.
 * @param budget The budget in the same unit; 0 if there is none.
 * @param basis The slopes and figures that it follows from.
 * @param extrapolated Whether a size lies outside the measured range.
 * @param counted Whether it counts towards the total of one node in the needed form.
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

    /** Tells whether the value is within its budget; true if there is none. */
    public boolean fits() {
        return budget <= 0 || value <= budget;
    }

    /** Returns a copy that counts towards the total of one node. */
    Estimate asCounted() {
        return new Estimate(role, quantity, form, value, unit, budget, basis, extrapolated, true);
    }
}
