package org.cranberrygauge.proxy.leader;

import static org.assertj.core.api.Assertions.assertThat;

import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.Test;

class JumpTolerantTimeSourceTest {

    private static final long EPOCH = 1_000_000;

    private long now;

    private long jump;

    private final TimeSource tolerant = new JumpTolerantTimeSource(new TimeSource() {
        @Override
        public long monotonicMillis() {
            return now;
        }

        @Override
        public long wallMillis() {
            return EPOCH + now + jump;
        }
    });

    @Test
    void ignoresAJumpThatIsReverted() {
        jump = 2_000;
        now = 100;
        assertThat(tolerant.wallMillis()).isEqualTo(EPOCH + 100);
        now = 6_000;
        assertThat(tolerant.wallMillis()).isEqualTo(EPOCH + 6_000);
        jump = 0;
        assertThat(tolerant.wallMillis()).isEqualTo(EPOCH + 6_000);
    }

    @Test
    void adoptsAJumpThatPersists() {
        jump = -3_000;
        now = 100;
        tolerant.wallMillis();
        now = 12_100;
        assertThat(tolerant.wallMillis()).isEqualTo(EPOCH + 12_100 - 3_000);
    }

    @Test
    void adoptsSmallCorrectionsAtOnce() {
        jump = 200;
        now = 100;
        assertThat(tolerant.wallMillis()).isEqualTo(EPOCH + 300);
    }
}
