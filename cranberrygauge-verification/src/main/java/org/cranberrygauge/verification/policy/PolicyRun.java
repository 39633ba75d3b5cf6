package org.cranberrygauge.verification.policy;

import java.util.List;
import java.util.Locale;
import org.cranberrygauge.emulator.replay.TraceProfile;

/**
 * The simulation of one trace with one policy variant.
 *
 * @param chatClasses The names of the chat classes, highest tier first.
 */
record PolicyRun(
        String deployment, TraceProfile profile, PolicyVariant variant, List<String> chatClasses, ReplayResult result) {

    PolicyRun {
        chatClasses = List.copyOf(chatClasses);
    }

    /** Returns the attainment of the highest chat tier. */
    double highTier() {
        return result.attainment().getOrDefault(chatClasses.get(0), 0.0);
    }

    boolean isOurs() {
        return variant.kind() == PolicyVariant.Kind.OURS;
    }

    /** Returns a description of each acceptance criterion that is not met. */
    List<String> unmetCriteria() {
        return AcceptanceCriteria.of(profile).unmetCriteria(result, chatClasses.get(0));
    }

    /** Formats the attainment of all classes, ordered by name. */
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
