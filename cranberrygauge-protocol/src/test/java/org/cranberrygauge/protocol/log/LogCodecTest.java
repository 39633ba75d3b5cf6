package org.cranberrygauge.protocol.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.model.record.UsageFigures;
import org.cranberrygauge.model.record.UsageKey;
import org.junit.jupiter.api.Test;

class LogCodecTest {

    @Test
    void readsBackWhatItWrote() throws CranberrygaugeException {
        LogEntry entry = new LogEntry(
                "host-1/7",
                3,
                List.of(
                        new LogRecord.ConfigurationChange("change", "operator", 0, Configuration.empty()),
                        new LogRecord.LeaseClaim("host-1/7", "host-1", 0, 6000),
                        new LogRecord.UsageDelta(
                                "host-1/7", 1, Map.of(new UsageKey("a|b", "chat"), new UsageFigures(1, 2, 3))),
                        new LogRecord.ReservationOutcome("r", LogRecord.Disposition.ANSWERED, 200, "a/b", "{}", true),
                        new LogRecord.DrainStarted("d", 0, Set.of("engine-1"), "cleaning")));

        assertThat(LogCodec.read(LogCodec.write(entry))).isEqualTo(entry);
    }

    @Test
    void rejectsAnUnknownRecordType() {
        assertThatThrownBy(
                        () -> LogCodec.read("{\"writer\":\"w\",\"sequence\":1,\"records\":[{\"type\":\"Mystery\"}]}"))
                .isInstanceOf(CranberrygaugeException.class)
                .hasMessageContaining("no LogEntry");
    }

    @Test
    void rejectsAnUnknownField() {
        assertThatThrownBy(() -> LogCodec.read("{\"writer\":\"w\",\"sequence\":1,\"records\":[],\"more\":1}"))
                .isInstanceOf(CranberrygaugeException.class)
                .hasMessageContaining("more");
    }
}
