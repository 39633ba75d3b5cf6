package org.cranberrygauge.runtime.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class EventRingBufferTest {

    private final EventRingBuffer buffer = new EventRingBuffer(3, () -> 42);

    @Test
    void the_events_of_a_request_are_found_in_their_order() {
        buffer.emit(new Started("one", "engine-1"));
        buffer.emit(new Started("two", "engine-1"));
        buffer.emit(new Refused("one", "overloaded"));
        assertThat(buffer.about("one")).extracting(EventRingBuffer.Entry::event).containsExactly("started", "refused");
        assertThat(buffer.about("engine-1")).hasSize(2);
        assertThat(buffer.about("one").get(1).fields()).containsEntry("reason", "overloaded");
    }

    @Test
    void only_the_newest_events_are_kept() {
        for (int number = 0; number < 10; number++) {
            buffer.emit(new Started("request-" + number, "engine-1"));
        }
        assertThat(buffer.about("engine-1")).hasSize(3);
        assertThat(buffer.about("request-0")).isEmpty();
        assertThat(buffer.about("request-9")).hasSize(1);
    }

    @Test
    void a_compound_log_passes_each_event_to_all_parts() {
        EventRingBuffer other = new EventRingBuffer(3, () -> 1);
        new EventLog.Compound(List.of(buffer, other)).emit(new Started("one", "engine-1"));
        assertThat(buffer.about("one")).hasSize(1);
        assertThat(other.about("one")).hasSize(1);
    }

    private record Started(String requestId, String backendServer) implements Event {}

    private record Refused(String requestId, String reason) implements Event {}
}
