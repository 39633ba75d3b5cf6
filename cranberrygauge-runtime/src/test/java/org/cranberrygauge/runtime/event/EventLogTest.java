package org.cranberrygauge.runtime.event;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class EventLogTest {

    private record RequestRefused(String requestId, String reason, long retryAfterMillis) implements Event {}

    @Test
    void writesOneLineOfPairs() {
        assertThat(EventLog.line(new RequestRefused("r-1", "queue \"full\"\nnow", 1000)))
                .isEqualTo(
                        "event=request_refused request_id=r-1 reason=\"queue \\\"full\\\"\\nnow\" retry_after_millis=1000");
    }
}
