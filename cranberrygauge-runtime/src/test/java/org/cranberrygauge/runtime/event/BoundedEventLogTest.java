package org.cranberrygauge.runtime.event;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.Test;

class BoundedEventLogTest {

    private final AtomicLong now = new AtomicLong(10_000);

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    private final BoundedEventLog log =
            new BoundedEventLog(new PrintStream(output, false, StandardCharsets.UTF_8), 3, new TimeSource() {
                @Override
                public long monotonicMillis() {
                    return now.get();
                }

                @Override
                public long wallMillis() {
                    return now.get();
                }
            });

    @Test
    void writesOneLineForEachEvent() {
        log.emit(new Happened(1));
        log.writeWaiting();
        assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo("time=10000 event=happened number=1\n");
    }

    @Test
    void dropsEventsAboveTheRateLimitAndReportsTheirNumber() {
        for (int number = 0; number < 10; number++) {
            log.emit(new Happened(number));
        }
        now.addAndGet(1_000);
        log.emit(new Happened(10));
        log.writeWaiting();
        assertThat(output.toString(StandardCharsets.UTF_8).lines())
                .hasSize(5)
                .contains("time=11000 event=events_dropped count=7");
    }

    @Test
    void neverBlocksWhenNobodyWrites() {
        for (int number = 0; number < 5_000; number++) {
            log.emit(new Happened(number));
        }
        log.writeWaiting();
        now.addAndGet(1_000);
        log.emit(new Happened(0));
        log.writeWaiting();
        long reportedDrops = output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.contains("event=events_dropped"))
                .mapToLong(line -> Long.parseLong(line.substring(line.lastIndexOf('=') + 1)))
                .sum();
        assertThat(reportedDrops).isEqualTo(4_997);
    }

    record Happened(int number) implements Event {}
}
