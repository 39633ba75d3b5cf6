package org.cranberrygauge.decision.admission;

import org.cranberrygauge.model.service.ServiceClass;

/**
 * Decides up to which forecast wait a request is taken in.
 *
 * <p>Implementations are stateless and safe for use by several threads.
 */
public interface WaitLimit {

    /**
     * Returns the longest forecast wait with which a request is taken in.
     *
     * @param serviceClass The class of the request.
     * @return The wait in milliseconds.
     */
    long limitMillis(ServiceClass serviceClass);

    /** Takes in what can start before its deadline. */
    enum Deadline implements WaitLimit {
        /** The only instance. */
        INSTANCE;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            return serviceClass.longestWaitMillis();
        }
    }

    /** Takes in what can still meet the target of its class. */
    enum Target implements WaitLimit {
        /** The only instance. */
        INSTANCE;

        /** The part of the target that may pass before the start, so that reading the prompt fits into the rest. */
        private static final double USABLE_SHARE = 0.6;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            long usable = Math.round(USABLE_SHARE * serviceClass.firstTokenTargetMillis());
            return Math.min(serviceClass.longestWaitMillis(), usable);
        }
    }

    /** Takes in everything. */
    enum Disabled implements WaitLimit {
        /** The only instance. */
        INSTANCE;

        @Override
        public long limitMillis(ServiceClass serviceClass) {
            return Long.MAX_VALUE;
        }
    }
}
