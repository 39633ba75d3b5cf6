package standin;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A stand-in of a worker, which registers in the store and runs each request that expects it. Thread-safe. */
public final class Worker {

    private static final long HEARTBEAT_MILLIS = 1_200;

    private final String id;

    private final String service;

    private final String zone;

    private final String version;

    private final Store store;

    private final Record record;

    private final Program program;

    private final HttpPeer.Server server;

    private final long born = System.currentTimeMillis();

    private int sequence;

    private String state = "ready";

    private boolean gone;

    public Worker(String id, String service, String zone, Store store, Record record, Program program) throws IOException {
        this(id, service, zone, "v1", store, record, program);
    }

    /** @param version The version of its software. */
    public Worker(
            String id, String service, String zone, String version, Store store, Record record, Program program)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.version = version;
        this.store = store;
        this.record = record;
        this.program = program;
        this.server = HttpPeer.serve(this::handle);
        register();
        Thread beats = new Thread(() -> {
            while (true) {
                Client.sleep(HEARTBEAT_MILLIS);
                register();
            }
        });
        beats.setDaemon(true);
        beats.start();
    }

    public String id() {
        return id;
    }

    public String version() {
        return version;
    }

    /** Reports that it is about to leave; it goes on serving. */
    public synchronized void drain() {
        state = "draining";
        record.line("worker " + id + " of " + version + " reports draining");
        register();
    }

    /** Leaves: its entry is removed, and it ends. */
    public synchronized void leave() throws IOException {
        gone = true;
        store.put("keyed.servers", id, "");
        server.close();
        record.line("worker " + id + " of " + version + " has left");
    }

    /** Writes its entry, as with each heartbeat. */
    public synchronized void register() {
        if (gone) {
            return;
        }
        sequence++;
        store.put(
                "keyed.servers",
                id,
                "{\"service\":\"" + service + "\",\"address\":\"" + server.address() + "\",\"zone\":\"" + zone
                        + "\",\"version\":\"" + version + "\",\"slots\":8,\"state\":\"" + state
                        + "\",\"cold_left_ms\":0,\"sequence\":" + sequence
                        + ",\"born\":" + born + "}");
    }

    /** Records what it does. */
    public void log(String text) {
        record.line("worker " + id + " of " + version + " " + text);
    }

    /** Returns the headers of an answer to a request that ran. */
    public Map<String, String> headers(HttpPeer.Message request) {
        Map<String, String> headers = new LinkedHashMap<>();
        headers.put("X-Attempt-Id", request.header("X-Attempt-Id"));
        headers.put("X-Response-Stamp", id + "." + request.header("X-Attempt-Id"));
        return headers;
    }

    private void handle(HttpPeer.Message request, Socket connection) throws IOException {
        String expected = request.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            HttpPeer.answer(connection, 421, Map.of("X-Not-Executed", "1", "X-Instance-Id", id), new byte[0]);
            return;
        }
        record.line("worker " + id + " runs " + request.header("X-Attempt-Id") + " of tenant " + request.header("X-Tenant"));
        program.run(this, request, connection);
    }

    /** What a worker does with a request. */
    public interface Program {

        void run(Worker worker, HttpPeer.Message request, Socket connection) throws IOException;
    }

    /** Answers each request with a short body. */
    public static Program shortAnswers() {
        return (worker, request, connection) -> HttpPeer.answer(
                connection, 200, worker.headers(request), "done".getBytes(StandardCharsets.US_ASCII));
    }
}
