package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Gathers estimates, role by role.
 *
 * <p>Used by one thread.
 */
final class EstimateTable {

    /** The form that runs today. */
    private static final String TODAY = "today";

    /** The form that is needed. */
    private static final String NEEDED = "needed";

    /** The estimates so far. */
    private final List<Estimate> estimates = new ArrayList<>();

    /** The role of the next estimates. */
    private String role = "";

    /**
     * Sets the role of the next estimates.
     *
     * @param name The role.
     */
    void role(String name) {
        role = name;
    }

    /**
     * Adds an estimate of the form that runs today.
     *
     * @param quantity What it is.
     * @param value The value.
     * @param budget What it is counted in.
     * @param basis What it follows from.
     * @return The table, to qualify the estimate.
     */
    EstimateTable today(String quantity, double value, Budget budget, String basis) {
        return add(quantity, TODAY, value, budget, basis);
    }

    /**
     * Adds an estimate of the form that is needed.
     *
     * @param quantity What it is.
     * @param value The value.
     * @param budget What it is counted in.
     * @param basis What it follows from.
     * @return The table, to qualify the estimate.
     */
    EstimateTable needed(String quantity, double value, Budget budget, String basis) {
        return add(quantity, NEEDED, value, budget, basis);
    }

    /**
     * Adds a figure without a budget.
     *
     * @param quantity What it is.
     * @param value The value.
     * @param unit The unit.
     * @param basis What it follows from.
     */
    void figure(String quantity, double value, String unit, String basis) {
        estimates.add(new Estimate(role, quantity, NEEDED, value, unit, 0, basis, false, false));
    }

    /**
     * Marks the last estimate as extrapolated.
     *
     * @param extrapolated Whether it is.
     * @return The table.
     */
    EstimateTable extrapolated(boolean extrapolated) {
        Estimate last = estimates.remove(estimates.size() - 1);
        estimates.add(new Estimate(
                last.role(),
                last.quantity(),
                last.form(),
                last.value(),
                last.unit(),
                last.budget(),
                last.basis(),
                extrapolated,
                last.counted()));
        return this;
    }

    /**
     * Counts the last estimate towards the sum of one node.
     *
     * @return The table.
     */
    EstimateTable counted() {
        Estimate last = estimates.remove(estimates.size() - 1);
        estimates.add(last.asCounted());
        return this;
    }

    /** Adds up what one node pays in the form that is needed. */
    void sums() {
        role("sum of one node");
        for (Budget budget : List.of(Budget.WORK, Budget.MEMORY, Budget.TRAFFIC)) {
            double sum = estimates.stream()
                    .filter(estimate -> estimate.counted() && estimate.unit().equals(budget.unit()))
                    .mapToDouble(Estimate::value)
                    .sum();
            needed(budget.name().toLowerCase(Locale.ROOT), sum, budget, "rows marked with *")
                    .extrapolated(true);
        }
    }

    /**
     * Returns the estimates.
     *
     * @return The estimates in their order.
     */
    List<Estimate> estimates() {
        return List.copyOf(estimates);
    }

    /**
     * Adds an estimate.
     *
     * @param quantity What it is.
     * @param form The form.
     * @param value The value.
     * @param budget What it is counted in.
     * @param basis What it follows from.
     * @return The table.
     */
    private EstimateTable add(String quantity, String form, double value, Budget budget, String basis) {
        estimates.add(new Estimate(role, quantity, form, value, budget.unit(), budget.limit(), basis, false, false));
        return this;
    }
}
