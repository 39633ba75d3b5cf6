package org.cranberrygauge.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.cranberrygauge.decision.quarantine.QuarantineObservation;
import org.cranberrygauge.decision.quarantine.RequestFingerprint;
import org.junit.jupiter.api.Test;

class ObservationCodecTest {

    private static final RequestFingerprint FINGERPRINT = RequestFingerprint.of("alpha", "/chat", "body");

    @Test
    void readsBackWhatItWrote() {
        List<QuarantineObservation> observations = List.of(
                new QuarantineObservation.Crashed(FINGERPRINT, "engine-1", 20, 300),
                new QuarantineObservation.Cleared(FINGERPRINT, 40),
                new QuarantineObservation.Running(FINGERPRINT, "engine-2"));

        assertThat(ObservationCodec.read(ObservationCodec.write(observations))).isEqualTo(observations);
    }

    @Test
    void ignoresTextsThatItCannotParse() {
        assertThat(ObservationCodec.read(null)).isEmpty();
        assertThat(ObservationCodec.read(List.of("", "crashed a b c d", "mystery a", "cleared a x")))
                .isEmpty();
    }
}
