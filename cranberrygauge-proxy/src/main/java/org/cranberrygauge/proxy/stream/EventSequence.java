package org.cranberrygauge.proxy.stream;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * The order of the events that one response holds, over all attempts that contribute to it.
 *
 * <p>Invariants: the numbers of accepted events rise; the first event of an attempt that resumes the stream follows the
 * last accepted one, by no larger step than others of the response. Identifiers that are no numbers have no order. Not
 * thread-safe.
 */
public final class EventSequence {

    private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry");

    /** The names of fields that a platform may add in the first line of an event. */
    private static final Pattern ADDED_FIELD = Pattern.compile("[A-Za-z][A-Za-z0-9_-]*");

    private static final String ID_FIELD = "id";

    private static final String DATA_FIELD = "data";

    private static final char COMMENT = ':';

    /** The byte order mark with which a stream may begin, in UTF-8. */
    private static final String BYTE_ORDER_MARK = "\u00ef\u00bb\u00bf";

    /** The identifier of the last event that has one, or at first the one that the caller sent. */
    private Optional<String> lastId;

    /** The number of the last event that has one, or at first the one that the caller sent. */
    private OptionalLong lastNumber;

    private long acceptedEvents;

    /** Whether the next event is the first one of an attempt that resumes the stream. */
    private boolean resumes;

    /** The largest difference of the numbers of two successive events of one attempt; empty before there are two. */
    private OptionalLong largestStep = OptionalLong.empty();

    /** Whether an event of the current attempt was accepted. */
    private boolean continues;

    /** @param lastId The identifier of the last event that the caller has; empty if the stream begins. */
    public EventSequence(Optional<String> lastId) {
        this.lastId = lastId;
        this.lastNumber = number(lastId);
    }

    /** Records that another attempt starts; it resumes the stream if there was an event before. */
    public void beginAttempt() {
        resumes = !isEmpty();
        continues = false;
    }

    /** Returns the identifier of the last event that has one, or at first the one that the caller sent. */
    public Optional<String> lastId() {
        return lastId;
    }

    /** Tells whether the caller has no event of the stream, neither of this response nor of an earlier one. */
    public boolean isEmpty() {
        return acceptedEvents == 0 && lastId.isEmpty();
    }

    /** Returns the number of accepted events, without comments. */
    public long acceptedEvents() {
        return acceptedEvents;
    }

    /** Tells whether another attempt can go on after the accepted events, since the last one has a number. */
    public boolean isResumable() {
        return acceptedEvents == 0 || number(lastId).isPresent();
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
        while (accepted < text.length()) {
            int end = endOfEvent(text, accepted);
            if (!accept(text.substring(accepted, end))) {
                return accepted;
            }
            accepted = end;
        }
        return accepted;
    }

    /** Returns the index after the first empty line from an index on. */
    private static int endOfEvent(String text, int start) {
        int line = start;
        while (line < text.length()) {
            int lineEnd = text.indexOf('\n', line);
            if (lineEnd < 0) {
                return text.length();
            }
            boolean empty = lineEnd == line || (lineEnd == line + 1 && text.charAt(line) == '\r');
            if (empty) {
                return lineEnd + 1;
            }
            line = lineEnd + 1;
        }
        return line;
    }

    private boolean accept(String event) {
        Optional<String> id = Optional.empty();
        boolean hasData = false;
        boolean hasAddedField = false;
        boolean first = true;
        for (String line : event.split("\n")) {
            String field = withoutMark(line).trim();
            if (field.isEmpty() || field.charAt(0) == COMMENT) {
                continue;
            }
            int colon = field.indexOf(COMMENT);
            String name = colon < 0 ? field : field.substring(0, colon);
            if (!FIELDS.contains(name)) {
                if (!first || !ADDED_FIELD.matcher(name).matches()) {
                    return false;
                }
                hasAddedField = true;
            }
            first = false;
            hasData |= name.equals(DATA_FIELD);
            if (name.equals(ID_FIELD)) {
                id = Optional.of(colon < 0 ? "" : field.substring(colon + 1).trim());
            }
        }
        boolean dispatchesNothing = id.isEmpty() && !hasData;
        return dispatchesNothing ? !hasAddedField : acceptNext(id);
    }

    /** Returns a line without the mark with which an attempt may begin. */
    private String withoutMark(String line) {
        return !continues && line.startsWith(BYTE_ORDER_MARK) ? line.substring(BYTE_ORDER_MARK.length()) : line;
    }

    /** Accepts the next event if it may follow the last one. */
    private boolean acceptNext(Optional<String> id) {
        OptionalLong next = number(id);
        if (lastNumber.isPresent() && next.isPresent()) {
            long step = next.getAsLong() - lastNumber.getAsLong();
            if (step <= 0 || (resumes && step > largestStep.orElse(Long.MAX_VALUE))) {
                return false;
            }
            if (continues) {
                largestStep = OptionalLong.of(Math.max(step, largestStep.orElse(0)));
            }
        } else if (resumes && lastNumber.isPresent()) {
            return false;
        }
        lastId = id.or(() -> lastId);
        lastNumber = next.isPresent() ? next : lastNumber;
        acceptedEvents++;
        continues = true;
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
