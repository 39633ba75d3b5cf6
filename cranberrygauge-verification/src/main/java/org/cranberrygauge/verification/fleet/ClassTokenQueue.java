package org.cranberrygauge.verification.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The output tokens that one class requests, served first in, first out.
 *
 * <p>Times are seconds since the start of the day. Not thread-safe.
 */
final class ClassTokenQueue {

    private static final double MILLIS = 1_000;

    private final ServiceClass serviceClass;

    private final Deque<Chunk> queue = new ArrayDeque<>();

    private double queuedTokens;

    /** The tokens served within the target. */
    private double servedInTime;

    /** The tokens served late or expired. */
    private double missedTarget;

    /** The tokens served since {@link #takeServed} was last called. */
    private double served;

    ClassTokenQueue(ServiceClass serviceClass) {
        this.serviceClass = serviceClass;
    }

    void arrive(int second, double tokens) {
        queue.addLast(new Chunk(second, tokens));
        queuedTokens += tokens;
    }

    /** Serves at most the given number of tokens and returns the number served. */
    double serve(int second, double budget) {
        double remaining = budget;
        while (remaining > 0 && !queue.isEmpty()) {
            Chunk chunk = queue.removeFirst();
            double portion = Math.min(remaining, chunk.tokens());
            if (chunk.tokens() > portion) {
                queue.addFirst(new Chunk(chunk.second(), chunk.tokens() - portion));
            }
            boolean inTime = (second - chunk.second()) * MILLIS <= serviceClass.firstTokenTargetMillis();
            servedInTime += inTime ? portion : 0;
            missedTarget += inTime ? 0 : portion;
            remaining -= portion;
        }
        double servedNow = budget - remaining;
        queuedTokens -= servedNow;
        served += servedNow;
        return servedNow;
    }

    /** Drops the tokens that have waited for the longest wait of the class. */
    void expire(int second) {
        while (!queue.isEmpty() && (second - queue.peekFirst().second()) * MILLIS >= serviceClass.longestWaitMillis()) {
            Chunk chunk = queue.removeFirst();
            queuedTokens -= chunk.tokens();
            missedTarget += chunk.tokens();
        }
    }

    String name() {
        return serviceClass.name();
    }

    double guaranteedShare() {
        return serviceClass.guaranteedShare();
    }

    double queuedTokens() {
        return queuedTokens;
    }

    /** Returns the number of tokens served late or expired. */
    double missedTarget() {
        return missedTarget;
    }

    /** Returns the share of tokens served within the target; 1 if there were none. */
    double attainment() {
        return servedInTime + missedTarget == 0 ? 1 : servedInTime / (servedInTime + missedTarget);
    }

    /** Returns the tokens served since the last call, and resets their count. */
    double takeServed() {
        double taken = served;
        served = 0;
        return taken;
    }

    void resetCounts() {
        servedInTime = 0;
        missedTarget = 0;
    }

    /** The tokens that arrived in one second. */
    private record Chunk(int second, double tokens) {}
}
