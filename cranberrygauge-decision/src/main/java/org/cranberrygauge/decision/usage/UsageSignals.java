package org.cranberrygauge.decision.usage;

import java.util.HashMap;
import java.util.Map;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;

/**
 * Encodes the usage of a gateway since its start, by class, as signals in its reports to controllers.
 *
 * <p>Stateless and thread-safe.
 */
public final class UsageSignals {

    /** The prefix of the names of signals that hold output tokens. */
    private static final String TOKENS = "usage_tokens:";

    /** The prefix of the names of signals that hold calls. */
    private static final String CALLS = "usage_calls:";

    private UsageSignals() {}

    /**
     * Encodes usage as signals.
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

    /** Returns the output tokens of a class since the start of the gateway. */
    public static double outputTokens(Map<String, Double> signals, String className) {
        return signals.getOrDefault(TOKENS + className, 0.0);
    }

    /** Returns the calls of a class since the start of the gateway. */
    public static double calls(Map<String, Double> signals, String className) {
        return signals.getOrDefault(CALLS + className, 0.0);
    }
}
