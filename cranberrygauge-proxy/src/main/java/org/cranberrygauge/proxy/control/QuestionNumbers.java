package org.cranberrygauge.proxy.control;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Numbers the questions that a process sends to other hosts.
 *
 * <p>Invariant: a number of one process is in all likelihood none of another, so that a late answer to an earlier process
 * of the host matches no question of this one. Not thread-safe.
 */
final class QuestionNumbers {

    private long last = ThreadLocalRandom.current().nextLong();

    long next() {
        return ++last;
    }
}
