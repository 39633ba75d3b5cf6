package org.cranberrygauge.decision.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.SnapshotPart;

/**
 * Cuts the text of a snapshot into parts and puts them together again.
 *
 * <p>Invariants: parts of different snapshots are never mixed; a text is returned only once all its parts were taken.
 * Used by one thread.
 */
public final class SnapshotParts {

    /** The parts taken so far by the identifier of their snapshot. */
    private final Map<String, Map<Integer, SnapshotPart>> taken = new HashMap<>();

    /**
     * Cuts a text into parts.
     *
     * @param snapshotId The identifier of the snapshot.
     * @param throughOffset The offset up to which it holds the log.
     * @param text The text.
     * @param characters The largest number of characters in a part.
     * @return The parts.
     */
    public static List<SnapshotPart> cut(String snapshotId, long throughOffset, String text, int characters) {
        int count = Math.max(1, (text.length() + characters - 1) / characters);
        List<SnapshotPart> parts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String part = text.substring(index * characters, Math.min(text.length(), (index + 1) * characters));
            parts.add(new SnapshotPart(snapshotId, throughOffset, index, count, part));
        }
        return parts;
    }

    /**
     * Takes a part that was read from the log.
     *
     * @param part The part.
     * @return The text of its snapshot if this was the last part that was missing.
     */
    public Optional<String> take(SnapshotPart part) {
        Map<Integer, SnapshotPart> parts = taken.computeIfAbsent(part.snapshotId(), id -> new HashMap<>());
        parts.put(part.index(), part);
        if (parts.size() < part.count()) {
            return Optional.empty();
        }
        taken.remove(part.snapshotId());
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < part.count(); index++) {
            text.append(parts.get(index).text());
        }
        return Optional.of(text.toString());
    }
}
