package org.cranberrygauge.decision.quarantine;

/**
 * One run of a suspected request.
 *
 * @param fingerprint The request.
 * @param attempt The identifier of the attempt, unique in the deployment.
 */
public record RunId(RequestFingerprint fingerprint, String attempt) {}
