package org.cranberrygauge.decision.snapshot;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.cranberrygauge.model.record.LogRecord.SnapshotPart;

/**
 * Splits the text of a snapshot into parts, and reassembles it from them.
 *
 * <p>Invariants: parts of different snapshots are never mixed; a text is returned only once all its parts were added.
 * Not thread-safe; confined to one thread.
 */
public final class SnapshotParts {

    /** The parts added so far, by the identifier of their snapshot. */
    private final Map<String, Map<Integer, SnapshotPart>> added = new HashMap<>();

    /**
     * Splits a text into parts.
     *
     * @param throughOffset The offset up to which the snapshot covers the log.
     * @param characters The maximum number of characters in a part.
     */
    public static List<SnapshotPart> split(String snapshotId, long throughOffset, String text, int characters) {
        int count = Math.max(1, (text.length() + characters - 1) / characters);
        List<SnapshotPart> parts = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            String part = text.substring(index * characters, Math.min(text.length(), (index + 1) * characters));
            parts.add(new SnapshotPart(snapshotId, throughOffset, index, count, part));
        }
        return parts;
    }

    /**
     * Adds a part that was read from the log.
     *
     * @return The text of the snapshot if this part completes it, otherwise empty.
     */
    public Optional<String> add(SnapshotPart part) {
        Map<Integer, SnapshotPart> parts = added.computeIfAbsent(part.snapshotId(), id -> new HashMap<>());
        parts.put(part.index(), part);
        if (parts.size() < part.count()) {
            return Optional.empty();
        }
        added.remove(part.snapshotId());
        StringBuilder text = new StringBuilder();
        for (int index = 0; index < part.count(); index++) {
            text.append(parts.get(index).text());
        }
        return Optional.of(text.toString());
    }
}
