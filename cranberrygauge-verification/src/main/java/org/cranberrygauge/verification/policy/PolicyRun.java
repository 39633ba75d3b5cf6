package org.cranberrygauge.verification.policy;

import java.util.List;
import java.util.Locale;
import org.cranberrygauge.emulator.replay.TraceProfile;

/**
 * One replay of a trace.
 *
 * @param deployment The deployment.
 * @param profile The profile of the trace.
 * @param variant The variant.
 * @param chatClasses The chat classes, the highest tier first.
 * @param result The figures.
 */
record PolicyRun(
        String deployment, TraceProfile profile, PolicyVariant variant, List<String> chatClasses, ReplayResult result) {

    /** Copies the list. */
    PolicyRun {
        chatClasses = List.copyOf(chatClasses);
    }

    /**
     * Returns the attainment of the highest chat tier.
     *
     * @return The attainment.
     */
    double highTier() {
        return result.attainment().getOrDefault(chatClasses.get(0), 0.0);
    }

    /**
     * Tells whether this is our policy.
     *
     * @return Whether it is.
     */
    boolean isOurs() {
        return variant.kind() == PolicyVariant.Kind.OURS;
    }

    /**
     * Compares the result with the stated outcome.
     *
     * @return What does not hold.
     */
    List<String> misses() {
        return AcceptanceCriteria.of(profile).misses(result, chatClasses.get(0));
    }

    /**
     * Writes the attainment of all classes.
     *
     * @return The attainments in the order of names.
     */
    String attainments() {
        StringBuilder text = new StringBuilder();
        result.attainment()
                .forEach((name, share) -> text.append(text.isEmpty() ? "" : " ")
                        .append(name)
                        .append('=')
                        .append(String.format(Locale.ROOT, "%.3f", share)));
        return text.toString();
    }
}
