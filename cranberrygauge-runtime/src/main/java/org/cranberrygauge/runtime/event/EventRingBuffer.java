package org.cranberrygauge.runtime.event;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.function.LongSupplier;

/**
 * Keeps the newest events in memory, so that an operator can ask what was decided about a request or a backend server.
 *
 * <p>Invariants: at most a fixed number of events is kept; an event that is written never waits. Safe for use by several
 * threads without locks.
 */
public final class EventRingBuffer implements EventLog {

    /** The events, each at its number modulo the size. */
    private final AtomicReferenceArray<Kept> slots;

    /** The number of events written. */
    private final AtomicLong written = new AtomicLong();

    /** Tells the present time in milliseconds of the epoch. */
    private final LongSupplier wallMillis;

    /**
     * Creates a ring.
     *
     * @param size The number of events that are kept.
     * @param wallMillis Tells the present time in milliseconds of the epoch.
     */
    public EventRingBuffer(int size, LongSupplier wallMillis) {
        this.slots = new AtomicReferenceArray<>(size);
        this.wallMillis = wallMillis;
    }

    @Override
    public void emit(Event event) {
        long number = written.getAndIncrement();
        slots.set((int) (number % slots.length()), new Kept(number, wallMillis.getAsLong(), event));
    }

    /**
     * Finds the kept events about a subject.
     *
     * @param subject The identifier of a request, the name of a backend server or any other value of a field.
     * @return The events, oldest first.
     */
    public List<Entry> about(String subject) {
        long end = written.get();
        List<Entry> entries = new ArrayList<>();
        for (long number = Math.max(0, end - slots.length()); number < end; number++) {
            Kept kept = slots.get((int) (number % slots.length()));
            if (kept != null && kept.number() == number) {
                Map<String, String> fields = EventLog.fields(kept.event());
                if (fields.containsValue(subject)) {
                    entries.add(new Entry(kept.atMillis(), EventLog.name(kept.event()), fields));
                }
            }
        }
        return entries;
    }

    /**
     * An event as it is shown.
     *
     * @param atMillis The time in milliseconds of the epoch.
     * @param event The name of the event.
     * @param fields The fields in their order.
     */
    public record Entry(long atMillis, String event, Map<String, String> fields) {}

    /**
     * An event as it is kept.
     *
     * @param number The number of the event.
     * @param atMillis The time in milliseconds of the epoch.
     * @param event The event.
     */
    private record Kept(long number, long atMillis, Event event) {}
}
