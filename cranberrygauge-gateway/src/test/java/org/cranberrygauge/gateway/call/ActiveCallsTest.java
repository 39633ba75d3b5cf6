package org.cranberrygauge.gateway.call;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.ErrorCode;
import org.junit.jupiter.api.Test;

class ActiveCallsTest {

    private final ActiveCalls calls = new ActiveCalls();

    private final List<ErrorCode> aborted = new ArrayList<>();

    @Test
    void endsACallWhoseKeyIsWithdrawn() {
        calls.add(new RecordingCall(KeyDigest.of("key")));

        calls.abortWithdrawn(KeyIndex.empty());

        assertThat(aborted).containsExactly(ErrorCode.KEY_WITHDRAWN);
    }

    @Test
    void endsACallThatIsAddedAfterItsKeyWasWithdrawn() {
        calls.abortWithdrawn(KeyIndex.empty());

        calls.add(new RecordingCall(KeyDigest.of("key")));

        assertThat(aborted).containsExactly(ErrorCode.KEY_WITHDRAWN);
    }

    @Test
    void doesNotAbortCallsOnRoutesThatNeedNoKey() {
        calls.add(new RecordingCall(null));

        calls.abortWithdrawn(KeyIndex.empty());

        assertThat(aborted).isEmpty();
    }

    private final class RecordingCall implements ActiveCall {

        private final KeyDigest key;

        private RecordingCall(KeyDigest key) {
            this.key = key;
        }

        @Override
        public KeyDigest key() {
            return key;
        }

        @Override
        public void abort(RequestFailure failure) {
            aborted.add(failure.code());
        }

        @Override
        public void recheckQueued() {
            throw new AssertionError("not expected");
        }
    }
}
