package org.cranberrygauge.decision.admission;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The waiting requests of one class with its guaranteed starts and deadlines.
 *
 * <p>Invariants: the saved credit is never negative and never above its limit. Used by one thread at a time.
 */
final class ClassQueue {

    /** The highest credit a class can save, in starts. */
    private static final double CREDIT_LIMIT = 4;

    /** The part of the longest wait that is left when a request is in danger of its deadline. */
    private static final double DANGER_SHARE = 0.25;

    /** The part of the target for the first token after which a waiting request presses. */
    private static final double PRESSING_SHARE = 0.5;

    /** The waiting requests. */
    private final CustomerQueues lines;

    /** The requests by deadline; those that left are dropped when they come up. */
    private final PriorityQueue<QueuedRequest> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(QueuedRequest::deadlineMillis));

    /** The class. */
    private ServiceClass serviceClass;

    /** The guaranteed starts that are not used yet. */
    private double credit;

    /** The monotonic time of the last start, or of the arrival that ended idleness if that was later. */
    private long servedAtMillis;

    /**
     * Creates a queue.
     *
     * @param serviceClass The class.
     * @param lines The lines of its customers.
     */
    ClassQueue(ServiceClass serviceClass, CustomerQueues lines) {
        this.serviceClass = serviceClass;
        this.lines = lines;
    }

    /**
     * Replaces the class.
     *
     * @param replacement The class.
     */
    void configure(ServiceClass replacement) {
        serviceClass = replacement;
    }

    /**
     * Returns the class.
     *
     * @return The class.
     */
    ServiceClass serviceClass() {
        return serviceClass;
    }

    /**
     * Returns the lines of the customers.
     *
     * @return The lines.
     */
    CustomerQueues lines() {
        return lines;
    }

    /**
     * Returns the requests by deadline, among them such as left.
     *
     * @return The requests.
     */
    PriorityQueue<QueuedRequest> deadlines() {
        return deadlines;
    }

    /**
     * Adds a request.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @param request The request.
     */
    void add(long nowMillis, QueuedRequest request) {
        if (lines.size() == 0) {
            servedAtMillis = nowMillis;
        }
        lines.add(request);
        deadlines.add(request);
    }

    /**
     * Returns what the class needs.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return The need.
     */
    GuaranteedSharePolicy.ClassNeed need(long nowMillis) {
        boolean starved = nowMillis - servedAtMillis >= serviceClass.firstTokenTargetMillis();
        long waitedMillis = nowMillis - deadlines.peek().arrivedAtMillis();
        boolean pressing = waitedMillis >= PRESSING_SHARE * serviceClass.firstTokenTargetMillis();
        return new GuaranteedSharePolicy.ClassNeed(credit, pressing, starved);
    }

    /** Notes a start of any class on a target that this class waits for. */
    void earn() {
        credit = Math.min(CREDIT_LIMIT, credit + serviceClass.guaranteedShare());
    }

    /**
     * Notes a start of this class.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     */
    void started(long nowMillis) {
        credit = Math.max(0, credit - 1);
        servedAtMillis = nowMillis;
        if (lines.size() == 0) {
            credit = 0;
        }
    }

    /**
     * Tells whether a waiting request is close to its deadline.
     *
     * @param nowMillis The present monotonic time in milliseconds.
     * @return Whether one is.
     */
    boolean isInDanger(long nowMillis) {
        if (lines.size() == 0 || deadlines.isEmpty()) {
            return false;
        }
        long left = deadlines.peek().deadlineMillis() - nowMillis;
        return left < DANGER_SHARE * serviceClass.longestWaitMillis();
    }
}
