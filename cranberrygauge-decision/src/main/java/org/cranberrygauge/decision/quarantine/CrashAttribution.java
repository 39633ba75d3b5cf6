package org.cranberrygauge.decision.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Attributes the crashes of backend servers to parts of prompts, or to whole requests that are sent again.
 *
 * <p>A part that crashes servers ran on each of them and never completes, whatever else its requests hold. Sound parts
 * ran on some of them only, or complete elsewhere. So the part that accounts for the most crashes since it last completed
 * is blamed for them, and other parts only for the crashes that remain. A whole request counts as its last part. Servers
 * that crash at the same moment have one cause and count once. Stateless and thread-safe.
 */
final class CrashAttribution {

    /** The crashes from which a part is blamed if no other part accounts for as many. */
    private static final int MINIMUM_CRASHES = 3;

    /** The crashes from which one of several parts that account for as many is blamed. */
    private static final int TIED_CRASHES = 5;

    /** The crashes from which the first part of prompts is blamed, which most requests of a route share. */
    private static final int FIRST_PART_CRASHES = 6;

    /** The time between two crashes up to which they count as one. */
    private static final long SIMULTANEOUS_MILLIS = 50;

    /** Prefers more crashes, then the part that fewer requests share; the last criterion is the same on all hosts. */
    private static final Comparator<Tally> ORDER = Comparator.comparingInt(Tally::count)
            .thenComparingInt(tally -> tally.servers)
            .thenComparingInt(tally -> tally.position)
            .thenComparingLong(tally -> tally.part);

    private CrashAttribution() {}

    /**
     * Returns the parts that crashed servers, with the monotonic time of the last crash in milliseconds.
     *
     * @param crashes All known crashes.
     * @param completed The monotonic time at which a part last completed in milliseconds, by part.
     */
    static Map<Long, Long> attribute(Collection<BackendCrash> crashes, Map<Long, Long> completed) {
        List<Counted> unexplained = number(crashes);
        Map<Long, Long> blamed = new HashMap<>();
        Optional<Tally> next = mostBlamed(unexplained, completed);
        while (next.isPresent()) {
            long part = next.get().part;
            blamed.put(part, next.get().lastMillis);
            unexplained.removeIf(counted -> counted.crash().parts().containsKey(part));
            next = mostBlamed(unexplained, completed);
        }
        return blamed;
    }

    /** Numbers the moments at which servers crashed. */
    private static List<Counted> number(Collection<BackendCrash> crashes) {
        List<BackendCrash> ordered = new ArrayList<>(crashes);
        ordered.sort(Comparator.comparingLong(BackendCrash::atMillis));
        List<Counted> numbered = new ArrayList<>();
        int moment = 0;
        long previousMillis = Long.MIN_VALUE / 2;
        for (BackendCrash crash : ordered) {
            if (crash.atMillis() - previousMillis > SIMULTANEOUS_MILLIS) {
                moment++;
            }
            previousMillis = crash.atMillis();
            numbered.add(new Counted(crash, moment));
        }
        return numbered;
    }

    private static Optional<Tally> mostBlamed(List<Counted> unexplained, Map<Long, Long> completed) {
        Collection<Tally> tallies = tally(unexplained, completed);
        List<Tally> later = tallies.stream().filter(tally -> tally.position > 0).toList();
        Optional<Tally> best = later.stream().max(ORDER).filter(tally -> tally.count() >= MINIMUM_CRASHES);
        if (best.isEmpty()) {
            return tallies.stream()
                    .filter(tally -> tally.position == 0 && tally.count() >= FIRST_PART_CRASHES)
                    .max(ORDER);
        }
        boolean undecided = best.get().count() < TIED_CRASHES && later.stream().anyMatch(best.get()::isRivalled);
        return undecided ? Optional.empty() : best;
    }

    /** Counts the moments by part, without those before the part last completed. */
    private static Collection<Tally> tally(List<Counted> unexplained, Map<Long, Long> completed) {
        Map<Long, Tally> tallies = new HashMap<>();
        for (Counted counted : unexplained) {
            counted.crash().parts().forEach((part, position) -> {
                if (counted.crash().atMillis() > completed.getOrDefault(part, Long.MIN_VALUE)) {
                    tallies.computeIfAbsent(part, Tally::new).add(counted, position);
                }
            });
        }
        return tallies.values();
    }

    /** A crash and the number of its moment. */
    private record Counted(BackendCrash crash, int moment) {}

    /** The crashes for which one part accounts. Not thread-safe. */
    private static final class Tally {

        private final long part;

        private final Set<Integer> moments = new HashSet<>();

        /** The number of servers, more than one of which may have crashed at the same moment. */
        private int servers;

        private int position = Integer.MAX_VALUE;

        private long lastMillis = Long.MIN_VALUE;

        private Tally(long part) {
            this.part = part;
        }

        private void add(Counted counted, int atPosition) {
            moments.add(counted.moment());
            servers++;
            position = Math.min(position, atPosition);
            lastMillis = Math.max(lastMillis, counted.crash().atMillis());
        }

        /** Tells whether another part accounts for as many crashes, most of them the same ones. */
        private boolean isRivalled(Tally other) {
            Set<Integer> others = new HashSet<>(other.moments);
            others.removeAll(moments);
            return position != SuspectPart.WHOLE_REQUEST
                    && other != this
                    && other.count() == count()
                    && other.servers >= servers
                    && others.size() < MINIMUM_CRASHES;
        }

        private int count() {
            return moments.size();
        }
    }
}
