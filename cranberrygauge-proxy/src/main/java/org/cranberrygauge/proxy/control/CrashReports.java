package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.quarantine.BackendCrash;
import org.cranberrygauge.decision.quarantine.CrashingParts.PartCompletion;
import org.cranberrygauge.protocol.generated.CrashSeen;
import org.cranberrygauge.protocol.generated.PartCompleted;
import org.cranberrygauge.protocol.generated.PartSuspected;

/**
 * Converts crashes of backend servers for the messages of hosts, which carry ages, since the hosts' clocks differ.
 * Stateless and thread-safe.
 */
final class CrashReports {

    /** The maximum number of parts of one crash in a message, so that it fits into a datagram. */
    private static final int MAXIMUM_PARTS = 160;

    private CrashReports() {}

    /** @param nowMillis The current monotonic time in milliseconds. */
    static CrashSeen write(long nowMillis, BackendCrash crash) {
        List<PartSuspected> parts = new ArrayList<>();
        crash.parts().entrySet().stream()
                .limit(MAXIMUM_PARTS)
                .forEach(entry -> parts.add(new PartSuspected(entry.getKey(), entry.getValue())));
        return new CrashSeen(crash.incarnation(), nowMillis - crash.atMillis(), parts);
    }

    /** @param nowMillis The current monotonic time in milliseconds. */
    static BackendCrash read(long nowMillis, CrashSeen seen) {
        Map<Long, Integer> parts = new HashMap<>();
        seen.getParts().forEach(suspected -> parts.put(suspected.getPart(), suspected.getPosition()));
        return new BackendCrash(seen.getIncarnation(), nowMillis - Math.max(0, seen.getAgeMillis()), parts);
    }

    /** @param nowMillis The current monotonic time in milliseconds. */
    static List<PartCompleted> writeCompletions(long nowMillis, Collection<PartCompletion> completions) {
        return completions.stream()
                .map(completion -> new PartCompleted(completion.part(), nowMillis - completion.atMillis()))
                .toList();
    }

    /** @param nowMillis The current monotonic time in milliseconds. */
    static PartCompletion read(long nowMillis, PartCompleted completed) {
        return new PartCompletion(completed.getPart(), nowMillis - Math.max(0, completed.getAgeMillis()));
    }
}
