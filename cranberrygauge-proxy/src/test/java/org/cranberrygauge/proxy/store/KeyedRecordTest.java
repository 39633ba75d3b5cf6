package org.cranberrygauge.proxy.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class KeyedRecordTest {

    @Test
    void aSerializedRecordParsesToTheSameRecord() {
        byte[] value = "value".getBytes(StandardCharsets.UTF_8);
        KeyedRecord read = KeyedRecord.parse(new KeyedRecord("key", Optional.of(value)).bytes())
                .orElseThrow();
        assertThat(read.key()).isEqualTo("key");
        assertThat(read.value()).contains(value);
    }

    @Test
    void aRecordWithoutAValueDeletesItsKey() {
        assertThat(KeyedRecord.parse(new KeyedRecord("key", Optional.empty()).bytes())
                        .orElseThrow()
                        .value())
                .isEmpty();
    }

    @Test
    void bytesThatAreTooShortAreRejected() {
        assertThat(KeyedRecord.parse(new byte[0])).isEmpty();
        assertThat(KeyedRecord.parse(new byte[] {5, 'a'})).isEmpty();
    }
}
