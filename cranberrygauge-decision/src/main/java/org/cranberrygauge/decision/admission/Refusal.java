package org.cranberrygauge.decision.admission;

import org.cranberrygauge.model.error.ErrorCode;

/**
 * A final refusal of a request that was not run.
 *
 * @param requestId The identifier of the request.
 * @param code The reason.
 * @param retryAfterMillis The time after which a new try makes sense in milliseconds.
 */
public record Refusal(long requestId, ErrorCode code, long retryAfterMillis) {}
