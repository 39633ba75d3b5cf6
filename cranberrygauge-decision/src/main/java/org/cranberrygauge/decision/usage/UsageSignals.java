package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * The usage of a gateway since its start by class, as it stands in its report to controllers.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class UsageSignals {

    /** The beginning of the names of signals with output tokens. */
    private static final String TOKENS = "usage_tokens:";

    /** The beginning of the names of signals with calls. */
    private static final String CALLS = "usage_calls:";

    /** Prevents instances. */
    private UsageSignals() {}

    /**
     * Writes signals.
     *
     * @param totals The totals by customer and class.
     * @return The signals by name.
     */
    public static Map<String, Double> of(Map<UsageKey, UsageFigures> totals) {
        Map<String, Double> signals = new HashMap<>();
        totals.forEach((key, figures) -> {
            signals.merge(TOKENS + key.className(), (double) figures.outputTokens(), Double::sum);
            signals.merge(CALLS + key.className(), (double) figures.calls(), Double::sum);
        });
        return signals;
    }

    /**
     * Reads the output tokens of a class.
     *
     * @param signals The signals by name.
     * @param className The name of the class.
     * @return The output tokens since the start.
     */
    public static double outputTokens(Map<String, Double> signals, String className) {
        return signals.getOrDefault(TOKENS + className, 0.0);
    }

    /**
     * Reads the calls of a class.
     *
     * @param signals The signals by name.
     * @param className The name of the class.
     * @return The calls since the start.
     */
    public static double calls(Map<String, Double> signals, String className) {
        return signals.getOrDefault(CALLS + className, 0.0);
    }
}
