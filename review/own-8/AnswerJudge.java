import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Compares what a caller got with what the servers wrote for its request. Thread-safe. */
final class AnswerJudge {

    /** The ways in which an answer may be wrong. */
    enum Wrong {
        /** A success where the server wrote a failure with that stamp, or failures alone for that request. */
        SUCCESS_FOR_FAILURE,
        /** Any other status than the server wrote with that stamp. */
        OTHER_STATUS,
        /** The answer to another request. */
        OTHER_REQUEST,
        /** A stamp or an identifier of another request beside the right ones. */
        OTHER_NAMES,
        /** A body that the server did not write, or not all of it in an answer that looks complete. */
        FOREIGN_BODY,
        /** A header or a reason phrase that the server did not write. */
        FOREIGN_HEADERS,
        /** A success without a stamp. */
        NO_STAMP,
        /** An answer that says that the request has not run, although it has. */
        NOT_RUN_BUT_RAN,
        /** Bytes that are no answer, or that follow one with no request waiting. */
        NO_ANSWER_IN_THE_PROTOCOL,
        /** A request that must run at most once ran more often. */
        RAN_TWICE
    }

    /** The headers of a connection, and those that a host sets for its own callers. */
    private static final Set<String> OF_THE_HOST =
            Set.of("connection", "keep-alive", "transfer-encoding", "content-length", "date", "retry-after");

    /** The headers that a server writes for its own connection. */
    private static final Set<String> OF_THE_CONNECTION = Set.of("keep-alive", "upgrade");

    private static final Set<Integer> SAYS_NOT_RUN = Set.of(408, 421, 429, 503);

    private static final String STATUS_LINE = "(?s).*HTTP/[0-9.]* ?[0-9]*.*";

    private final RepeatingServer server;

    AnswerJudge(RepeatingServer server) {
        this.server = server;
    }

    /** Returns in which ways an answer is wrong. */
    Set<Wrong> judge(String id, String path, ReceivedAnswer answer) {
        Set<Wrong> wrong = EnumSet.noneOf(Wrong.class);
        if (answer.startLine().isEmpty()) {
            return wrong;
        }
        List<String> stamps = answer.values("X-Response-Stamp");
        if (stamps.isEmpty()) {
            judgeWithoutStamp(id, answer, wrong);
            return wrong;
        }
        WrittenAnswer written = ownAnswer(id, stamps);
        if (written == null) {
            boolean others = stamps.stream().anyMatch(server.written::containsKey);
            wrong.add(others ? Wrong.OTHER_REQUEST : Wrong.FOREIGN_HEADERS);
            return wrong;
        }
        if (answer.status() != written.status()) {
            wrong.add(answer.status() < 300 ? Wrong.SUCCESS_FOR_FAILURE : Wrong.OTHER_STATUS);
        }
        if (saysNotRun(answer)) {
            wrong.add(Wrong.NOT_RUN_BUT_RAN);
        }
        if (!hasBody(path, answer, written)) {
            wrong.add(Wrong.FOREIGN_BODY);
        }
        judgeHeaders(answer, written, wrong);
        return wrong;
    }

    /**
     * Judges what is known only after all runs have ended: whether a caller got the success of another request while its own
     * request failed.
     */
    void judgeAtEnd(KeptCaller.Got got) {
        if (got.wrong.contains(Wrong.OTHER_REQUEST) && got.status < 300 && server.failed(got.id)) {
            got.wrong.add(Wrong.SUCCESS_FOR_FAILURE);
        }
    }

    /** Returns the answer to a request that was written with one of the stamps, or null if there is none. */
    private WrittenAnswer ownAnswer(String id, List<String> stamps) {
        return stamps.stream()
                .map(server.written::get)
                .filter(written -> written != null && written.id().equals(id))
                .findFirst()
                .orElse(null);
    }

    /** Judges how often a request ran. */
    boolean ranTooOften(String id, String path) {
        return path.startsWith("/once/") && server.runs.containsKey(id) && server.runs.get(id).get() > 1;
    }

    private void judgeWithoutStamp(String id, ReceivedAnswer answer, Set<Wrong> wrong) {
        if (answer.status() < 300) {
            wrong.add(Wrong.NO_STAMP);
        }
        if (saysNotRun(answer) && server.runs.containsKey(id)) {
            wrong.add(Wrong.NOT_RUN_BUT_RAN);
        }
        if (answer.startLine().substring(1).contains("HTTP/")) {
            wrong.add(Wrong.FOREIGN_HEADERS);
        }
        List<String> named = answer.values("X-Attempt-Id");
        if (named.stream().anyMatch(each -> !each.equals(id))) {
            wrong.add(Wrong.OTHER_NAMES);
        }
    }

    private static boolean saysNotRun(ReceivedAnswer answer) {
        return SAYS_NOT_RUN.contains(answer.status()) || !answer.values("X-Not-Executed").isEmpty();
    }

    private static boolean hasBody(String path, ReceivedAnswer answer, WrittenAnswer written) {
        boolean stream = path.startsWith("/notes/") && written.status() == 200;
        String expected = stream ? AnswerMaker.events(written.id()) : written.body();
        String body = stream ? withoutComments(answer.body()) : answer.body();
        return answer.complete() ? body.equals(expected) : expected.startsWith(body);
    }

    private static String withoutComments(String events) {
        return events.replaceAll("(?m)^:.*\n(\n)?", "");
    }

    private static void judgeHeaders(ReceivedAnswer answer, WrittenAnswer written, Set<Wrong> wrong) {
        boolean named = answer.values("X-Attempt-Id").equals(written.values("X-Attempt-Id"));
        boolean stampedOnce = answer.values("X-Response-Stamp").equals(List.of(written.stamp()));
        if (!named || !stampedOnce) {
            wrong.add(Wrong.OTHER_NAMES);
        }
        boolean foreign = answer.startLine().substring(1).contains("HTTP/")
                || answer.headers().stream().anyMatch(header -> isForeign(header, written))
                || written.headers().stream().anyMatch(header -> isMissing(header, answer));
        if (foreign) {
            wrong.add(Wrong.FOREIGN_HEADERS);
        }
    }

    private static boolean isForeign(Map.Entry<String, String> header, WrittenAnswer written) {
        String name = header.getKey().toLowerCase(Locale.ROOT);
        if (OF_THE_HOST.contains(name)) {
            return header.getValue().matches(STATUS_LINE);
        }
        return !written.values(name).contains(header.getValue());
    }

    private static boolean isMissing(Map.Entry<String, String> header, ReceivedAnswer answer) {
        String name = header.getKey().toLowerCase(Locale.ROOT);
        return !OF_THE_CONNECTION.contains(name) && !answer.values(name).contains(header.getValue());
    }
}
