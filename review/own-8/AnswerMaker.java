import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Makes the answers of a server: their status, order of headers and body are drawn by seed. Thread-safe. */
final class AnswerMaker {

    /** The number of events of a stream. */
    static final int EVENTS = 5;

    private static final int SHORTEST_BODY = 20;

    private static final int LONGEST_BODY = 600;

    private static final int CHUNKS = 3;

    private final MixedSettings settings;

    AnswerMaker(MixedSettings settings) {
        this.settings = settings;
    }

    /** Returns a rejection of a request that is not run. */
    WrittenAnswer rejection(String id, Random random) {
        List<Map.Entry<String, String>> headers = commonHeaders(id);
        headers.add(Map.entry("X-Not-Executed", "1"));
        return answer(id, "", 503, "Service Unavailable", headers, List.of("full\n"), false, random);
    }

    /** Returns an error of a request that has run. */
    WrittenAnswer error(String id, String stamp, Random random) {
        List<Map.Entry<String, String>> headers = runHeaders(id, stamp, "text/plain");
        return answer(id, stamp, 500, "Internal Server Error", headers, List.of(text(stamp, random)), false, random);
    }

    /** Returns the success of a plain request. */
    WrittenAnswer success(String id, String stamp, boolean chunked, Random random) {
        String body = text(stamp, random);
        List<String> parts = new ArrayList<>();
        int size = chunked ? Math.max(1, body.length() / CHUNKS) : body.length();
        for (int from = 0; from < body.length(); from += size) {
            parts.add(body.substring(from, Math.min(body.length(), from + size)));
        }
        return answer(id, stamp, 200, "OK", runHeaders(id, stamp, "text/plain"), parts, chunked, random);
    }

    /** Returns a stream that goes on after an event. */
    WrittenAnswer stream(String id, String stamp, int lastEvent, Random random) {
        List<String> parts = new ArrayList<>();
        for (int event = lastEvent + 1; event <= EVENTS; event++) {
            parts.add(event(id, event));
        }
        return answer(id, stamp, 200, "OK", runHeaders(id, stamp, "text/event-stream"), parts, true, random);
    }

    /** Returns the events of a request's stream, which are the same in each run. */
    static String events(String id) {
        StringBuilder events = new StringBuilder();
        for (int event = 1; event <= EVENTS; event++) {
            events.append(event(id, event));
        }
        return events.toString();
    }

    private static String event(String id, int number) {
        return "id: " + number + "\ndata: text " + number + " of " + id + "\n\n";
    }

    private static String text(String stamp, Random random) {
        int length = SHORTEST_BODY + random.nextInt(LONGEST_BODY - SHORTEST_BODY);
        return "body of " + stamp + " " + "0123456789".repeat(length / 10) + "\n";
    }

    private List<Map.Entry<String, String>> runHeaders(String id, String stamp, String type) {
        List<Map.Entry<String, String>> headers = commonHeaders(id);
        headers.add(Map.entry("X-Response-Stamp", stamp));
        headers.add(Map.entry("X-Note", "note of " + stamp));
        headers.add(Map.entry("Content-Type", type));
        return headers;
    }

    private List<Map.Entry<String, String>> commonHeaders(String id) {
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        if (settings.names() != MixedSettings.Names.NONE) {
            headers.add(Map.entry("X-Attempt-Id", id));
        }
        headers.add(Map.entry("Keep-Alive", "timeout=5"));
        headers.add(Map.entry("Cache-Control", "no-store"));
        if (settings.sound().contains(MixedSettings.Sound.HEADERS)) {
            headers.add(Map.entry("Via", "HTTP/1.1 proxy"));
            headers.add(Map.entry("Upgrade", "HTTP/2.0"));
        }
        if (settings.sound().contains(MixedSettings.Sound.STATUS)) {
            headers.add(Map.entry("X-Protocol", "answered by HTTP/1.1 200 OK"));
        }
        return headers;
    }

    private static WrittenAnswer answer(
            String id,
            String stamp,
            int status,
            String reason,
            List<Map.Entry<String, String>> headers,
            List<String> parts,
            boolean chunked,
            Random random) {
        Collections.shuffle(headers, random);
        int before = random.nextInt(headers.size() + 1);
        return new WrittenAnswer(id, stamp, status, reason, List.copyOf(headers), before, parts, chunked);
    }
}
