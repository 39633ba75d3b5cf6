package org.cranberrygauge.proxy.exchange;

import java.util.OptionalLong;
import org.cranberrygauge.proxy.backend.Backend;

/**
 * What the attempts of one request show of whether it crashes the backend servers that run it.
 *
 * <p>Invariant: of one attempt it is recorded either that the request is sound or that it may have crashed the server.
 * Not thread-safe.
 */
final class CrashEvidence {

    /**
     * The time after the first event of a stream from which its request counts as sound: one that crashes the backend
     * server does so as soon as the server begins to write.
     */
    private static final long SOUND_AFTER_MILLIS = 1_000;

    private final ExchangeContext context;

    private final ProxyRequest request;

    /** The monotonic time of the first event in the attempt in progress; empty before it. */
    private OptionalLong firstEventMillis = OptionalLong.empty();

    /** Whether the attempt in progress has shown that the request is sound. */
    private boolean shownSound;

    CrashEvidence(ExchangeContext context, ProxyRequest request) {
        this.context = context;
        this.request = request;
    }

    /** Tells whether the request, or a part of its prompt, has crashed several backend servers. */
    boolean isBlocked() {
        return context.crashingParts().isBlocked(request::suspects);
    }

    /** Records that another attempt starts. */
    void recordAttempt() {
        firstEventMillis = OptionalLong.empty();
        shownSound = false;
    }

    /**
     * Records that events have arrived; once they have for a while, the request is sound.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void recordEvents(long nowMillis) {
        if (firstEventMillis.isEmpty()) {
            firstEventMillis = OptionalLong.of(nowMillis);
        }
        if (!shownSound && nowMillis - firstEventMillis.getAsLong() >= SOUND_AFTER_MILLIS) {
            shownSound = true;
            context.crashingParts().recordCompletion(nowMillis, request.suspects());
        }
    }

    /**
     * Records a complete response. If only the end of the connection ended it, the server may have crashed.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param framed Whether more than the end of the connection shows that the response is complete.
     */
    void recordResponse(long nowMillis, Backend backend, boolean framed) {
        if (framed) {
            context.crashingParts().recordCompletion(nowMillis, request.suspects());
        } else {
            recordBroken(nowMillis, backend);
        }
    }

    /**
     * Records that the connection to the backend server broke.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     */
    void recordBroken(long nowMillis, Backend backend) {
        if (!shownSound) {
            context.crashWatch().recordBroken(nowMillis, backend, request.suspects());
        }
    }
}
