package org.cranberrygauge.decision.admission;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The waiting requests of one service class, with the class's credit for guaranteed starts.
 *
 * <p>Invariants: the credit is never negative and never above {@link #MAXIMUM_CREDIT}. Not thread-safe; callers
 * serialize access.
 */
final class ClassQueue {

    /** The highest credit that a class can accumulate, in starts. */
    private static final double MAXIMUM_CREDIT = 4;

    /** The fraction of the longest wait below which a request counts as near its deadline. */
    private static final double NEAR_DEADLINE_FRACTION = 0.25;

    /** The fraction of the first-token target after which a waiting request is urgent. */
    private static final double URGENT_WAIT_FRACTION = 0.5;

    private final CustomerQueues customerQueues;

    /** The requests by deadline, including stale entries of requests that have left the queue. */
    private final PriorityQueue<QueuedRequest> deadlines =
            new PriorityQueue<>(Comparator.comparingLong(QueuedRequest::deadlineMillis));

    private ServiceClass serviceClass;

    /** The guaranteed starts earned and not yet used. */
    private double credit;

    /** The monotonic time of the last start, or of the arrival that ended an idle period if that is later. */
    private long lastServedMillis;

    ClassQueue(ServiceClass serviceClass, CustomerQueues customerQueues) {
        this.serviceClass = serviceClass;
        this.customerQueues = customerQueues;
    }

    void configure(ServiceClass replacement) {
        serviceClass = replacement;
    }

    ServiceClass serviceClass() {
        return serviceClass;
    }

    CustomerQueues customerQueues() {
        return customerQueues;
    }

    /** Returns the requests by deadline, including stale entries of requests that have left the queue. */
    PriorityQueue<QueuedRequest> deadlines() {
        return deadlines;
    }

    void add(long nowMillis, QueuedRequest request) {
        if (customerQueues.size() == 0) {
            lastServedMillis = nowMillis;
        }
        customerQueues.add(request);
        deadlines.add(request);
    }

    GuaranteedSharePolicy.ShareClaim claim(long nowMillis) {
        boolean starved = nowMillis - lastServedMillis >= serviceClass.firstTokenTargetMillis();
        long waitedMillis = nowMillis - deadlines.peek().arrivedAtMillis();
        boolean urgent = waitedMillis >= URGENT_WAIT_FRACTION * serviceClass.firstTokenTargetMillis();
        return new GuaranteedSharePolicy.ShareClaim(credit, urgent, starved);
    }

    /** Credits the class for a start, of any class, on a target that this class waits for. */
    void accrueCredit() {
        credit = Math.min(MAXIMUM_CREDIT, credit + serviceClass.guaranteedShare());
    }

    /** Charges the class for the start of one of its requests. */
    void started(long nowMillis) {
        credit = Math.max(0, credit - 1);
        lastServedMillis = nowMillis;
        if (customerQueues.size() == 0) {
            credit = 0;
        }
    }

    /** Returns whether the waiting request with the earliest deadline is close to that deadline. */
    boolean isNearDeadline(long nowMillis) {
        if (customerQueues.size() == 0 || deadlines.isEmpty()) {
            return false;
        }
        long remainingMillis = deadlines.peek().deadlineMillis() - nowMillis;
        return remainingMillis < NEAR_DEADLINE_FRACTION * serviceClass.longestWaitMillis();
    }
}
