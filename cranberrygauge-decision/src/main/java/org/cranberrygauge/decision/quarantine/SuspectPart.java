package org.cranberrygauge.decision.quarantine;

/**
 * A part of the prompt of a request that ran on a crashed backend server.
 *
 * @param part The hash of the part's identifier.
 * @param position The position of the part in the prompt, from 0.
 */
public record SuspectPart(long part, int position) {}
