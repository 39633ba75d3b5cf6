package org.cranberrygauge.decision.memory;

/**
 * Tells whether a receiver still reads: the bytes that wait to be written to it, and when it last read some. Not
 * thread-safe.
 */
public final class WriteProgress {

    private long pendingBytes;

    private long progressMillis;

    /** Records that bytes wait to be written. */
    public void recordQueued(long nowMillis, long bytes) {
        if (pendingBytes == 0) {
            progressMillis = nowMillis;
        }
        pendingBytes += bytes;
    }

    /** Records that the receiver has taken bytes. */
    public void recordWritten(long nowMillis, long bytes) {
        pendingBytes -= bytes;
        progressMillis = nowMillis;
    }

    public long pendingBytes() {
        return pendingBytes;
    }

    /** Returns for how long bytes have waited without any being read, in milliseconds; 0 if none wait. */
    public long stalledMillis(long nowMillis) {
        return pendingBytes == 0 ? 0 : nowMillis - progressMillis;
    }
}
