package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/**
 * Collects estimates, role by role.
 *
 * <p>Not thread-safe.
 */
final class EstimateTable {

    /** The form of a mechanism in the present version. */
    private static final String TODAY = "today";

    /** The form of a mechanism that the target size needs. */
    private static final String NEEDED = "needed";

    private final List<Estimate> estimates = new ArrayList<>();

    /** The role of the next estimates. */
    private String role = "";

    /** Sets the role of the next estimates. */
    void role(String name) {
        role = name;
    }

    /** Adds an estimate of a mechanism in its present form, and returns this table to qualify the estimate. */
    EstimateTable today(String quantity, double value, Budget budget, String basis) {
        return add(quantity, TODAY, value, budget, basis);
    }

    /** Adds an estimate of a mechanism in the needed form, and returns this table to qualify the estimate. */
    EstimateTable needed(String quantity, double value, Budget budget, String basis) {
        return add(quantity, NEEDED, value, budget, basis);
    }

    /** Adds a figure without a budget. */
    void figure(String quantity, double value, String unit, String basis) {
        estimates.add(new Estimate(role, quantity, NEEDED, value, unit, 0, basis, false, false));
    }

    /** Marks the last estimate as extrapolated or not. */
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

    /** Counts the last estimate towards the total of one node. */
    EstimateTable counted() {
        Estimate last = estimates.remove(estimates.size() - 1);
        estimates.add(last.asCounted());
        return this;
    }

    /** Adds the totals of one node in the needed form. */
    void totals() {
        role("sum of one node");
        for (Budget budget : List.of(Budget.WORK, Budget.MEMORY, Budget.TRAFFIC)) {
            double total = estimates.stream()
                    .filter(estimate -> estimate.counted() && estimate.unit().equals(budget.unit()))
                    .mapToDouble(Estimate::value)
                    .sum();
            needed(budget.name().toLowerCase(Locale.ROOT), total, budget, "rows marked with *")
                    .extrapolated(true);
        }
    }

    /** Returns the estimates in the order in which they were added. */
    List<Estimate> estimates() {
        return List.copyOf(estimates);
    }

    private EstimateTable add(String quantity, String form, double value, Budget budget, String basis) {
        estimates.add(new Estimate(role, quantity, form, value, budget.unit(), budget.limit(), basis, false, false));
        return this;
    }
}
