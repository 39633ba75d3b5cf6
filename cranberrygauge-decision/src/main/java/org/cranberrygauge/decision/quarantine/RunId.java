package org.cranberrygauge.decision.quarantine;

/**
 * Identifies one run of a suspected request.
 *
 * @param attempt The identifier of the attempt, unique in the deployment.
 */
public record RunId(RequestFingerprint fingerprint, String attempt) {}
