package org.cranberrygauge.verification.fleet;

import java.util.ArrayDeque;
import java.util.Deque;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The tokens that one class asks for, served first in, first out.
 *
 * <p>Used by one thread.
 */
final class ClassTokenQueue {

    /** The number of milliseconds in a second. */
    private static final double MILLIS = 1_000;

    /** The class. */
    private final ServiceClass serviceClass;

    /** The tokens that wait. */
    private final Deque<Chunk> queue = new ArrayDeque<>();

    /** The tokens that wait, added up. */
    private double waiting;

    /** The tokens that started within the target. */
    private double met;

    /** The tokens that started late or were given up. */
    private double missed;

    /** The tokens served since they were last taken. */
    private double served;

    /**
     * Creates a stream.
     *
     * @param serviceClass The class.
     */
    ClassTokenQueue(ServiceClass serviceClass) {
        this.serviceClass = serviceClass;
    }

    /**
     * Takes tokens in.
     *
     * @param second The second of the day.
     * @param tokens The tokens.
     */
    void arrive(int second, double tokens) {
        queue.addLast(new Chunk(second, tokens));
        waiting += tokens;
    }

    /**
     * Serves tokens.
     *
     * @param second The second of the day.
     * @param budget The highest number of tokens.
     * @return The number served.
     */
    double serve(int second, double budget) {
        double left = budget;
        while (left > 0 && !queue.isEmpty()) {
            Chunk chunk = queue.removeFirst();
            double part = Math.min(left, chunk.tokens());
            if (chunk.tokens() > part) {
                queue.addFirst(new Chunk(chunk.second(), chunk.tokens() - part));
            }
            boolean inTime = (second - chunk.second()) * MILLIS <= serviceClass.firstTokenTargetMillis();
            met += inTime ? part : 0;
            missed += inTime ? 0 : part;
            left -= part;
        }
        double given = budget - left;
        waiting -= given;
        served += given;
        return given;
    }

    /**
     * Gives up what waited too long.
     *
     * @param second The second of the day.
     */
    void expire(int second) {
        while (!queue.isEmpty() && (second - queue.peekFirst().second()) * MILLIS >= serviceClass.longestWaitMillis()) {
            Chunk chunk = queue.removeFirst();
            waiting -= chunk.tokens();
            missed += chunk.tokens();
        }
    }

    /**
     * Returns the name of the class.
     *
     * @return The name.
     */
    String name() {
        return serviceClass.name();
    }

    /**
     * Returns the guaranteed share.
     *
     * @return The share.
     */
    double share() {
        return serviceClass.guaranteedShare();
    }

    /**
     * Returns the tokens that wait.
     *
     * @return The tokens.
     */
    double waiting() {
        return waiting;
    }

    /**
     * Returns the tokens that started late or were given up.
     *
     * @return The tokens.
     */
    double missed() {
        return missed;
    }

    /**
     * Returns the share of tokens that started within the target.
     *
     * @return The share.
     */
    double attainment() {
        return met + missed == 0 ? 1 : met / (met + missed);
    }

    /**
     * Takes the tokens served since the last call.
     *
     * @return The tokens.
     */
    double takeServed() {
        double taken = served;
        served = 0;
        return taken;
    }

    /** Forgets what was counted. */
    void resetCounts() {
        met = 0;
        missed = 0;
    }

    /**
     * Tokens that arrived together.
     *
     * @param second The second of the day.
     * @param tokens The tokens.
     */
    private record Chunk(int second, double tokens) {}
}
