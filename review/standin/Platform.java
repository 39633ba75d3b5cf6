package standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's API for usage reports, which checks the fence. Thread-safe. */
public final class Platform {

    private final HttpPeer.Server server;

    private final Record record;

    private final Map<String, Long> fences = new HashMap<>();

    /** The counts of the accepted reports by window. */
    private final Map<String, List<String>> accepted = new TreeMap<>();

    public Platform(Record record) throws IOException {
        this.record = record;
        server = HttpPeer.serve(this::handle);
    }

    public String address() {
        return server.address();
    }

    /** Returns the accepted reports by window, of which equal ones count once. */
    public synchronized Map<String, List<String>> accepted() {
        return new TreeMap<>(accepted);
    }

    private void handle(HttpPeer.Message request, Socket connection) throws IOException {
        int status = status(request);
        HttpPeer.answer(connection, status, Map.of("Content-Type", "application/json"), "{}".getBytes(StandardCharsets.UTF_8));
    }

    private synchronized int status(HttpPeer.Message request) {
        long token = Long.parseLong(request.header("X-Fencing-Token"));
        boolean fenced = token < fences.getOrDefault(request.path(), Long.MIN_VALUE);
        record.line("platform " + (fenced ? "refuses " : "accepts ") + request.path() + " of "
                + request.header("X-Duty-Holder") + " with generation number " + token + ": " + request.text());
        if (fenced) {
            return 409;
        }
        fences.put(request.path(), token);
        if (request.path().equals("/usage")) {
            List<String> reports = accepted.computeIfAbsent(Store.field(request.text(), "window_seq"), seq -> new ArrayList<>());
            String counts = counts(request.text());
            if (!reports.contains(counts)) {
                reports.add(counts);
            }
        }
        return 200;
    }

    /** Returns the counts of a report in the order of the tenants. */
    private static String counts(String body) {
        TreeMap<String, String> counts = new TreeMap<>();
        Matcher table = Pattern.compile("\"counts\"\\s*:\\s*\\{([^}]*)\\}").matcher(body);
        if (table.find()) {
            Matcher count = Pattern.compile("\"([^\"]+)\"\\s*:\\s*(\\d+)").matcher(table.group(1));
            while (count.find()) {
                counts.put(count.group(1), count.group(2));
            }
        }
        return counts.toString();
    }
}
