package org.cranberrygauge.decision.quarantine;

/**
 * What may have crashed the backend server that ran a request: a part of its prompt, or the whole request.
 *
 * @param part The hash of the part's identifier, or of the request.
 * @param position The position of the part in the prompt, from 0; {@link #WHOLE_REQUEST} for the request.
 */
public record SuspectPart(long part, int position) {

    /** The position of a whole request, behind all parts of its prompt. */
    public static final int WHOLE_REQUEST = Integer.MAX_VALUE;
}
