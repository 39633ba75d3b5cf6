package org.cranberrygauge.decision.quarantine;

import java.util.HashMap;
import java.util.Map;

/**
 * The crash of a backend server and what ran there, as far as it is known. Immutable.
 *
 * @param incarnation The incarnation of the backend server, which crashes once.
 * @param atMillis The monotonic time of the crash in milliseconds, on the clock of this process.
 * @param parts The positions of the parts of the prompts that ran there, by the hash of the part.
 */
public record BackendCrash(String incarnation, long atMillis, Map<Long, Integer> parts) {

    public BackendCrash {
        parts = Map.copyOf(parts);
    }

    /** Returns the crash with what two hosts know of it. */
    BackendCrash merge(BackendCrash other) {
        Map<Long, Integer> both = new HashMap<>(other.parts);
        both.putAll(parts);
        return new BackendCrash(incarnation, Math.min(atMillis, other.atMillis), both);
    }

    /** Returns the crash with one of its parts only. */
    BackendCrash withOnly(long part) {
        return new BackendCrash(incarnation, atMillis, Map.of(part, parts.get(part)));
    }
}
