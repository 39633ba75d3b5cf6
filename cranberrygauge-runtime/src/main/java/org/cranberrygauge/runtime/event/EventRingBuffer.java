package org.cranberrygauge.runtime.event;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.LongSupplier;

/**
 * Keeps the most recent events in memory, so that operators can query the decisions about a request or backend server.
 *
 * <p>Invariants: a fixed number of events is kept; emitting an event never blocks. Safe for use by several threads
 * without locks.
 */
public final class EventRingBuffer implements EventLog {

    /** The events, each in the slot given by its sequence number modulo the capacity. */
    private final AtomicReferenceArray<SequencedEvent> slots;

    private final AtomicLong written = new AtomicLong();

    private final LongSupplier wallMillis;

    /**
     * Creates an empty buffer.
     *
     * @param capacity The number of events that are kept.
     * @param wallMillis Supplies the time in milliseconds since the epoch.
     */
    public EventRingBuffer(int capacity, LongSupplier wallMillis) {
        this.slots = new AtomicReferenceArray<>(capacity);
        this.wallMillis = wallMillis;
    }

    @Override
    public void emit(Event event) {
        long number = written.getAndIncrement();
        slots.set((int) (number % slots.length()), new SequencedEvent(number, wallMillis.getAsLong(), event));
    }

    /**
     * Returns the kept events in which any field has the given value, oldest first.
     *
     * @param subject For example a request identifier or the name of a backend server.
     */
    public List<Entry> about(String subject) {
        long end = written.get();
        List<Entry> entries = new ArrayList<>();
        for (long number = Math.max(0, end - slots.length()); number < end; number++) {
            SequencedEvent stored = slots.get((int) (number % slots.length()));
            if (stored != null && stored.number() == number) {
                Map<String, String> fields = EventLog.fields(stored.event());
                if (fields.containsValue(subject)) {
                    entries.add(new Entry(stored.atMillis(), EventLog.name(stored.event()), fields));
                }
            }
        }
        return entries;
    }

    /**
     * An event as presented to operators.
     *
     * @param atMillis The time of the event in milliseconds since the epoch.
     * @param event The name of the event in snake case.
     * @param fields The values by field name, in declaration order.
     */
    public record Entry(long atMillis, String event, Map<String, String> fields) {}

    /**
     * An event with its sequence number.
     *
     * @param number The sequence number, by which a reader detects that a slot was overwritten.
     * @param atMillis The time of the event in milliseconds since the epoch.
     */
    private record SequencedEvent(long number, long atMillis, Event event) {}
}
