package org.cranberrygauge.decision.admission;

import org.cranberrygauge.model.error.ErrorCode;

/**
 * The final refusal of a request that was not run.
 *
 * @param code The reason for the refusal.
 * @param retryAfterMillis The time after which a retry is sensible, in milliseconds.
 */
public record Refusal(long requestId, ErrorCode code, long retryAfterMillis) {}
