package org.cranberrygauge.proxy.stream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.regex.Pattern;

/**
 * The order of the events that one response holds, over all attempts that contribute to it.
 *
 * <p>Invariants: the numbers of accepted events rise; the first event of an attempt that resumes the stream follows the
 * last accepted one, by no larger step than others of the response. Identifiers that are no numbers have no order. Not
 * thread-safe.
 */
public final class EventSequence {

    private static final Pattern FIELD_NAME = Pattern.compile("[A-Za-z][A-Za-z0-9_-]*");

    private static final String ID_FIELD = "id";

    private static final char COMMENT = ':';

    /** The identifier of the last event that has one, or at first the one that the caller sent. */
    private Optional<String> lastId;

    /** Whether events were accepted. */
    private boolean begun;

    /** Whether the next event is the first one of an attempt that resumes the stream. */
    private boolean resumes;

    /** The largest difference of the numbers of two successive events of one attempt; empty before there are two. */
    private OptionalLong largestStep = OptionalLong.empty();

    /** Whether the last accepted event was one of the current attempt. */
    private boolean continues;

    /** @param lastId The identifier of the last event that the caller has; empty if the stream begins. */
    public EventSequence(Optional<String> lastId) {
        this.lastId = lastId;
    }

    /** Records that another attempt starts; it resumes the stream if there was an event before. */
    public void beginAttempt() {
        resumes = begun || lastId.isPresent();
        continues = false;
    }

    /** Returns the identifier of the last event that has one, or at first the one that the caller sent. */
    public Optional<String> lastId() {
        return lastId;
    }

    /** Tells whether another attempt can go on after the accepted events, since the last one has a number. */
    public boolean isResumable() {
        return !begun || number(lastId).isPresent();
    }

    /**
     * Accepts the events that follow those before.
     *
     * @param events Complete events, each with the empty line at its end.
     * @return The size of the accepted events in bytes; less than all if an event does not follow, or is no event.
     */
    public int accept(Buffer events) {
        String text = events.toString(StandardCharsets.ISO_8859_1);
        int accepted = 0;
        for (int end = endOfEvent(text, 0); end > 0; end = endOfEvent(text, accepted)) {
            if (!accept(text.substring(accepted, end))) {
                return accepted;
            }
            accepted = end;
        }
        return accepted;
    }

    /** Returns the index after the empty line of the event that begins at an index, or 0 if there is none. */
    private static int endOfEvent(String text, int start) {
        for (int lineEnd = text.indexOf('\n', start); lineEnd >= 0; lineEnd = text.indexOf('\n', lineEnd + 1)) {
            boolean emptyLineFollows = text.startsWith("\n", lineEnd + 1);
            if (emptyLineFollows) {
                return lineEnd + 2;
            }
            if (text.startsWith("\r\n", lineEnd + 1)) {
                return lineEnd + 3;
            }
        }
        return 0;
    }

    private boolean accept(String event) {
        Optional<String> id = Optional.empty();
        boolean comment = true;
        for (String line : event.split("\n")) {
            String field = line.trim();
            if (field.isEmpty() || field.charAt(0) == COMMENT) {
                continue;
            }
            comment = false;
            int colon = field.indexOf(COMMENT);
            String name = colon < 0 ? field : field.substring(0, colon);
            if (!FIELD_NAME.matcher(name).matches()) {
                return false;
            }
            if (name.equals(ID_FIELD)) {
                id = Optional.of(colon < 0 ? "" : field.substring(colon + 1).trim());
            }
        }
        return comment || acceptNext(id);
    }

    /** Accepts the next event if it may follow the last one. */
    private boolean acceptNext(Optional<String> id) {
        OptionalLong last = number(lastId);
        OptionalLong next = number(id);
        if (last.isPresent() && next.isPresent()) {
            long step = next.getAsLong() - last.getAsLong();
            if (step <= 0 || (resumes && step > largestStep.orElse(Long.MAX_VALUE))) {
                return false;
            }
            if (continues) {
                largestStep = OptionalLong.of(Math.max(step, largestStep.orElse(0)));
            }
        } else if (resumes && last.isPresent()) {
            return false;
        }
        lastId = id.or(() -> lastId);
        continues = true;
        begun = true;
        resumes = false;
        return true;
    }

    private static OptionalLong number(Optional<String> id) {
        try {
            return id.isEmpty() ? OptionalLong.empty() : OptionalLong.of(Long.parseLong(id.get()));
        } catch (NumberFormatException exception) {
            return OptionalLong.empty();
        }
    }
}
