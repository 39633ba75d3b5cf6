package org.cranberrygauge.proxy.routing;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.quarantine.SuspectPart;
import org.cranberrygauge.decision.topology.StableHash;

/**
 * The prompt of a request, as far as the caller describes it in headers. Immutable.
 *
 * @param inputTokens The length of the prompt in tokens.
 * @param outputTokens The expected length of the output in tokens.
 * @param parts The parts of the prompt in order; the last one is specific to the request or its session.
 */
public record Prompt(long inputTokens, long outputTokens, List<PromptPart> parts) {

    public static final Prompt NONE = new Prompt(0, 0, List.of());

    public Prompt {
        parts = List.copyOf(parts);
    }

    /** Returns the parts that other requests may share: all but the last. */
    public List<PromptPart> sharedParts() {
        return parts.subList(0, Math.max(0, parts.size() - 1));
    }

    /** Returns the shared parts as suspects of a crash of the backend server that runs the prompt, in a new list. */
    public List<SuspectPart> suspects() {
        List<SuspectPart> suspects = new ArrayList<>();
        for (PromptPart part : sharedParts()) {
            suspects.add(new SuspectPart(StableHash.update(StableHash.START, part.id()), suspects.size()));
        }
        return suspects;
    }

    /**
     * Returns the identifier of the last shared part, by which requests with a common prefix are routed to the same
     * engine; empty if the prompt has no parts.
     */
    public String affinityKey() {
        if (parts.isEmpty()) {
            return "";
        }
        return parts.get(Math.max(0, parts.size() - 2)).id();
    }
}
