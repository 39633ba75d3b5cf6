package org.cranberrygauge.verification.policy;

import org.cranberrygauge.emulator.replay.TraceRequest;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * The progress and outcome of one request of a trace.
 *
 * <p>Mutable and not thread-safe.
 */
final class ReplayedRequest {

    final TraceRequest trace;

    final ServiceClass serviceClass;

    End end = End.RUNNING;

    double endedAtMillis;

    /** The time at which the caller received the first token; negative before. */
    double firstTokenAtMillis = -1;

    /** The time at which the caller received the last token so far. */
    double lastTokenAtMillis;

    /** The output tokens delivered to the caller. */
    int delivered;

    int attempts;

    int preemptions;

    /** The number of times that its caller sent it again. */
    int callerRetries;

    ReplayedRequest(TraceRequest trace, ServiceClass serviceClass) {
        this.trace = trace;
        this.serviceClass = serviceClass;
    }

    boolean isChat() {
        return trace.kind() == TraceRequest.Kind.CHAT;
    }

    /** Tells whether the complete answer arrived within the targets of its class. */
    boolean isGood() {
        if (end != End.ANSWERED) {
            return false;
        }
        double firstToken = firstTokenAtMillis - trace.arrivalMillis();
        double between = delivered < 2 ? 0 : (lastTokenAtMillis - firstTokenAtMillis) / (delivered - 1);
        return firstToken <= serviceClass.firstTokenTargetMillis()
                && between <= serviceClass.betweenTokensTargetMillis();
    }

    /** Tells whether the request counts towards attainment: it ended, and not because its key was withdrawn. */
    boolean countsTowardsAttainment() {
        return end != End.KEY_WITHDRAWN && end != End.RUNNING;
    }

    /** How a request ended. */
    enum End {
        /** Not ended yet: it waits or runs. */
        RUNNING,
        ANSWERED,
        REFUSED,
        FAILED,
        KEY_WITHDRAWN
    }
}
