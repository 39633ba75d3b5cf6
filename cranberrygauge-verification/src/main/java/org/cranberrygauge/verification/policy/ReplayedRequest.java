package org.cranberrygauge.verification.policy;

import org.cranberrygauge.emulator.replay.TraceRequest;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * What became of one request of a trace.
 *
 * <p>Mutable and used by one thread.
 */
final class ReplayedRequest {

    /** The line of the trace. */
    final TraceRequest trace;

    /** The class. */
    final ServiceClass serviceClass;

    /** The end. */
    End end = End.RUNNING;

    /** The time of the end in milliseconds. */
    double endedAtMillis;

    /** The time of the first token at the caller in milliseconds; negative before. */
    double firstTokenAtMillis = -1;

    /** The time of the last token at the caller in milliseconds. */
    double lastTokenAtMillis;

    /** The tokens that the caller has. */
    int delivered;

    /** The attempts that the gateways made. */
    int attempts;

    /** The times that it was preempted. */
    int preemptions;

    /** The times that its caller sent it again. */
    int callerRetries;

    /**
     * Creates a request.
     *
     * @param trace The line of the trace.
     * @param serviceClass The class.
     */
    ReplayedRequest(TraceRequest trace, ServiceClass serviceClass) {
        this.trace = trace;
        this.serviceClass = serviceClass;
    }

    /**
     * Tells whether the request is a chat.
     *
     * @return Whether it is.
     */
    boolean isChat() {
        return trace.kind() == TraceRequest.Kind.CHAT;
    }

    /**
     * Tells whether the targets of the class were met.
     *
     * @return Whether the whole answer came in time.
     */
    boolean isGood() {
        if (end != End.ANSWERED) {
            return false;
        }
        double firstToken = firstTokenAtMillis - trace.arrivalMillis();
        double between = delivered < 2 ? 0 : (lastTokenAtMillis - firstTokenAtMillis) / (delivered - 1);
        return firstToken <= serviceClass.firstTokenTargetMillis()
                && between <= serviceClass.betweenTokensTargetMillis();
    }

    /**
     * Tells whether the request counts for attainment.
     *
     * @return Whether its key worked and its end is known.
     */
    boolean counts() {
        return end != End.KEY_WITHDRAWN && end != End.RUNNING;
    }

    /** The ends of a request. */
    enum End {
        /** It waits or runs. */
        RUNNING,
        /** The whole answer came. */
        ANSWERED,
        /** It was refused. */
        REFUSED,
        /** It failed. */
        FAILED,
        /** Its key was withdrawn. */
        KEY_WITHDRAWN
    }
}
