import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import standin.Case;
import standin.Client;
import standin.Deployment;
import standin.HttpPeer;
import standin.Platform;
import standin.Record;
import standin.Store;
import standin.Worker;

/** One host gets its stop signal while callers send requests to it. */
public final class OneHostStops {

    private static final double GRACE_SECONDS = 8;

    /** The time after the signal up to which a request that its server is still at work on may be cut off. */
    private static final double EXCUSED_SECONDS = 3;

    /** The time after the signal up to which a complete request must be answered. */
    private static final double ANSWERED_SECONDS = 2.5;

    /** The time after the last byte up to which a connection may end that crosses the request. */
    private static final double CROSSING_SECONDS = 0.2;

    private static final int EVENTS = 10;

    private static final Map<String, double[]> RUNS = new ConcurrentHashMap<>();

    private OneHostStops() {}

    public static void main(String[] arguments) {
        Case.main(arguments[0], OneHostStops::run);
    }

    private static int setting(String name, int otherwise) {
        return Integer.parseInt(System.getenv().getOrDefault(name, Integer.toString(otherwise)));
    }

    private static int run(Path repository, Record record, String trouble) throws Exception {
        Random random = new Random(setting("SEED", 1));
        int callers = setting("CALLERS", 200);
        int serveMillis = setting("SERVE_MILLIS", 1_000);
        Store store = new Store();
        Worker.Program program = (worker, request, connection) -> serve(record, serveMillis, worker, request, connection);
        for (int number = 1; number <= 2; number++) {
            new Worker("i-" + number, "ledger", "east-a", store, record, program);
            new Worker("i-" + (number + 2), "notes", "east-a", store, record, program);
        }
        store.put("keyed.op", "config", configuration());
        try (Deployment deployment = new Deployment(repository, record, store, new Platform(record), 5)) {
            Deployment.Machine stopping = deployment.add("front-1", "east-a");
            Deployment.Machine staying = deployment.add("front-2", "east-a");
            stopping.awaitReady();
            staying.awaitReady();
            double signalSeconds = record.seconds() + 3;
            List<StopCaller> started = new ArrayList<>();
            ExecutorService threads = Executors.newCachedThreadPool();
            for (int number = 0; number < callers; number++) {
                StopCaller caller = new StopCaller(random, number, stopping.front, signalSeconds, record);
                started.add(caller);
                threads.execute(caller);
            }
            Client.sleep((long) ((signalSeconds - record.seconds()) * 1_000));
            if (!trouble.equals("0")) {
                stopping.signal("TERM");
                record.line((stopping.awaitEnd(12) ? "front-1 has ended" : "front-1 still runs"));
            }
            threads.shutdown();
            threads.awaitTermination(25, TimeUnit.SECONDS);
            Path logs = repository.resolve("review/target/logs");
            Files.createDirectories(logs);
            Files.writeString(logs.resolve("front-1.log"), stopping.log());
            return judge(started, signalSeconds, record);
        }
    }

    /** Answers after a time that follows from the request, in events if it is a stream. */
    private static void serve(
            Record record, int serveMillis, Worker worker, HttpPeer.Message request, Socket connection) throws IOException {
        String id = request.header("X-Attempt-Id");
        double[] run = {record.seconds(), Double.POSITIVE_INFINITY};
        RUNS.put(id, run);
        long millis = 20 + Math.floorMod(id.hashCode() * 0x9E3779B9, serveMillis);
        boolean streams = request.path().startsWith("/notes/");
        try {
            if (streams) {
                stream(worker, request, connection, 2 * millis / EVENTS);
            } else {
                Client.sleep(millis);
                HttpPeer.answer(connection, 200, worker.headers(request), "done".getBytes(StandardCharsets.US_ASCII));
            }
        } finally {
            run[1] = record.seconds();
        }
    }

    private static void stream(Worker worker, HttpPeer.Message request, Socket connection, long eventMillis)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        worker.headers(request).forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        write(connection, head + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= EVENTS; event++) {
            Client.sleep(eventMillis);
            String text = "id: " + event + "\ndata: " + (event == EVENTS ? "last" : "next") + "\n\n";
            write(connection, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(connection, "0\r\n\r\n");
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
    }

    private static int judge(List<StopCaller> callers, double signalSeconds, Record record) {
        int faults = 0;
        int requests = 0;
        int answered = 0;
        int refused = 0;
        int crossed = 0;
        int excused = 0;
        for (StopCaller caller : callers) {
            for (StopCaller.Sent sent : caller.sent) {
                requests++;
                answered += sent.status == 200 ? 1 : 0;
                refused += sent.status == 503 ? 1 : 0;
                boolean lost = isLost(sent);
                boolean mayBeCut = lost && isExcused(sent, signalSeconds);
                excused += mayBeCut ? 1 : 0;
                crossed += !lost && !sent.whole ? 1 : 0;
                String fault = lost && !mayBeCut ? "lost" : isWronglyRefused(sent, signalSeconds) ? "refused" : "";
                if (!fault.isEmpty()) {
                    faults++;
                    record.line(describe(fault, sent, signalSeconds));
                }
            }
        }
        record.line(requests + " requests: " + answered + " answered with 200, " + refused + " with 503, " + crossed
                + " crossed the close, " + excused + " cut as allowed, " + faults + " faults");
        return faults > 0 ? 1 : 0;
    }

    private static boolean isLost(StopCaller.Sent sent) {
        boolean ran = RUNS.containsKey(sent.id);
        return !sent.whole && (ran || sent.endSeconds - sent.wholeSeconds > CROSSING_SECONDS);
    }

    private static boolean isExcused(StopCaller.Sent sent, double signalSeconds) {
        double[] run = RUNS.get(sent.id);
        return run != null
                && sent.wholeSeconds <= signalSeconds + EXCUSED_SECONDS
                && run[1] >= signalSeconds + GRACE_SECONDS * 5 / 6;
    }

    private static boolean isWronglyRefused(StopCaller.Sent sent, double signalSeconds) {
        boolean refused = sent.status == 503 || sent.status == 429;
        boolean ranOnce = RUNS.containsKey(sent.id) && sent.path.startsWith("/once/");
        return refused && (ranOnce || sent.wholeSeconds <= signalSeconds + ANSWERED_SECONDS);
    }

    private static String describe(String fault, StopCaller.Sent sent, double signalSeconds) {
        double[] run = RUNS.get(sent.id);
        return String.format(
                "%s: %s %s %s complete %.3f s after the signal, %s, its connection %s at %.3f s, status %d %s",
                fault,
                sent.kind,
                sent.path,
                sent.id,
                sent.wholeSeconds - signalSeconds,
                run == null ? "never ran" : String.format("ran from %.3f to %.3f s", run[0] - signalSeconds, run[1] - signalSeconds),
                sent.whole ? "answered" : "ended",
                sent.endSeconds - signalSeconds,
                sent.status,
                sent.failure);
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[" + route("r1", "/notes/", "streaming", "notes", true) + ","
                + route("r2", "/safe/", "idempotent", "ledger", false) + ","
                + route("r3", "/once/", "non_idempotent", "ledger", false)
                + "],\"services\":[{\"name\":\"notes\",\"health_path\":\"/health\",\"max_conns\":360},"
                + "{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":360}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static String route(String name, String prefix, String kind, String service, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"api.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":12000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"" + service
                + "\",\"max_attempts\":2,\"public\":false,\"sticky\":" + resumable + ",\"resumable\":" + resumable
                + ",\"gap_target_ms\":400}";
    }
}
