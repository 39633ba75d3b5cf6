package org.cranberrygauge.decision.admission;

import org.cranberrygauge.model.service.ServiceClass;

/**
 * Bounds the predicted wait with which a request is admitted.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface WaitLimit {

    /**
     * Returns the longest predicted wait with which a request of a class is admitted.
     *
     * @return The wait in milliseconds.
     */
    long limitMillis(ServiceClass serviceClass);

    /** Admits requests that can start before their deadline. */
    enum Deadline implements WaitLimit {
        INSTANCE;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            return serviceClass.longestWaitMillis();
        }
    }

    /** Admits requests that can still meet the first-token target of their class. */
    enum Target implements WaitLimit {
        INSTANCE;

        /** The fraction of the first-token target that may pass in the queue; the rest is left for prefill. */
        private static final double QUEUEING_FRACTION = 0.4;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            long usable = Math.round(QUEUEING_FRACTION * serviceClass.firstTokenTargetMillis());
            return Math.min(serviceClass.longestWaitMillis(), usable);
        }
    }

    /** Admits every request. */
    enum Disabled implements WaitLimit {
        INSTANCE;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            return Long.MAX_VALUE;
        }
    }
}
