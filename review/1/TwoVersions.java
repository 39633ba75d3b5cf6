import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import standin.Case;
import standin.Client;
import standin.Deployment;
import standin.HttpPeer;
import standin.Platform;
import standin.Record;
import standin.Store;
import standin.Worker;

/** All machines lose power while the last workers of an older version leave, and requesters resume their streams. */
public final class TwoVersions {

    private static final int STREAMS = 12;

    private static final int EVENTS = 57;

    private static final int EVENT_MILLIS = 180;

    private static final int DEADLINE_MILLIS = 15_000;

    private static final int DRAIN_MILLIS = 2_000;

    /** How long the machines are without power. */
    private static final int DOWN_MILLIS = 1_300;

    private static final int RETRY_MILLIS = 400;

    /** The time between two workers of a release. */
    private static final int RELEASE_GAP_MILLIS = 1_000;

    private TwoVersions() {}

    public static void main(String[] arguments) {
        Case.main(arguments[0], TwoVersions::run);
    }

    private static int run(Path repository, Record record, String troubleSetting) throws Exception {
        boolean trouble = !troubleSetting.equals("0");
        Store store = new Store();
        Platform platform = new Platform(record);
        List<Worker> older = new ArrayList<>();
        for (int number = 1; number <= 2; number++) {
            older.add(new Worker("i-" + number, "notes", "east-a", "v1", store, record, TwoVersions::stream));
        }
        store.put("keyed.op", "config", configuration());
        try (Deployment deployment = new Deployment(repository, record, store, platform, 5)) {
            List<Deployment.Machine> machines = new ArrayList<>();
            for (int number = 1; number <= 3; number++) {
                machines.add(deployment.add("front-" + number, "east-a"));
            }
            for (Deployment.Machine machine : machines) {
                machine.awaitReady();
            }
            List<Requester> requesters = new ArrayList<>();
            CountDownLatch ended = new CountDownLatch(STREAMS);
            for (int number = 0; number < STREAMS; number++) {
                Requester requester = new Requester(machines, number, record, ended);
                requesters.add(requester);
                new Thread(requester).start();
            }
            Client.sleep(1_500);
            release(older, machines, store, record, trouble);
            ended.await(DEADLINE_MILLIS + 5_000, TimeUnit.MILLISECONDS);
            return judge(requesters, record);
        }
    }

    /** Replaces the workers, one after the other, by those of a newer version; the machines lose power before the older ones have left. */
    private static void release(
            List<Worker> older, List<Deployment.Machine> machines, Store store, Record record, boolean trouble)
            throws IOException {
        for (int number = 0; number < older.size(); number++) {
            String id = "i-" + (older.size() + number + 1);
            new Worker(id, "notes", "east-a", "v2", store, record, TwoVersions::stream);
            record.line("worker " + id + " of v2 starts");
            Client.sleep(RELEASE_GAP_MILLIS);
            older.get(number).drain();
        }
        Client.sleep(DRAIN_MILLIS - DOWN_MILLIS / 2);
        if (trouble) {
            for (Deployment.Machine machine : machines) {
                machine.signal("KILL");
            }
        }
        Client.sleep(DOWN_MILLIS);
        for (Worker worker : older) {
            worker.leave();
        }
        if (trouble) {
            for (Deployment.Machine machine : machines) {
                machine.awaitEnd(10);
                machine.start();
            }
        }
    }

    /** Writes the events after the one that the request names. */
    private static void stream(Worker worker, HttpPeer.Message request, Socket connection) throws IOException {
        String last = request.header("Last-Event-Id");
        String first = request.header("Resumes");
        worker.log("runs " + request.header("X-Attempt-Id") + (last == null ? "" : " from event " + last + " of " + first));
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n");
        for (Map.Entry<String, String> header : worker.headers(request).entrySet()) {
            head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n");
        }
        write(connection, head + "Transfer-Encoding: chunked\r\n\r\n");
        for (int id = last == null ? 1 : Integer.parseInt(last) + 1; id <= EVENTS; id++) {
            Client.sleep(EVENT_MILLIS);
            String event = "id: " + id + "\ndata: " + worker.version() + "\n\n";
            write(connection, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(connection, "0\r\n\r\n");
    }

    private static void write(Socket connection, String text) throws IOException {
        connection.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
    }

    private static int judge(List<Requester> requesters, Record record) {
        int mixed = 0;
        for (Requester requester : requesters) {
            String versions = requester.versions();
            record.line("stream " + requester.first + " holds events of " + versions + ", up to " + requester.lastId);
            mixed += versions.contains(",") ? 1 : 0;
        }
        record.line(mixed + " streams hold events of two versions; 2 are allowed");
        return mixed > 2 ? 1 : 0;
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"api.example\",\"path_prefix\":\"/notes/\","
                + "\"kind\":\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":600,\"priority\":0,"
                + "\"service\":\"notes\",\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
                + "\"gap_target_ms\":400}],\"services\":[{\"name\":\"notes\",\"health_path\":\"/health\",\"max_conns\":360,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":540877}}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"]}]}";
    }

    /** A requester of one stream, which it takes up again after a broken channel or a refusal until its deadline. */
    private static final class Requester implements Runnable {

        private final List<Deployment.Machine> machines;

        private final Record record;

        private final CountDownLatch ended;

        private final double deadlineSeconds;

        private final TreeSet<String> versions = new TreeSet<>();

        private int next;

        private String first = "";

        private int lastId;

        private boolean complete;

        private Requester(List<Deployment.Machine> machines, int number, Record record, CountDownLatch ended) {
            this.machines = machines;
            this.next = number;
            this.record = record;
            this.ended = ended;
            this.deadlineSeconds = record.seconds() + DEADLINE_MILLIS / 1_000.0;
        }

        private synchronized String versions() {
            return String.join(",", versions);
        }

        @Override
        public void run() {
            while (!complete && record.seconds() < deadlineSeconds - 1) {
                Deployment.Machine machine = machines.get(next++ % machines.size());
                String id = Client.newId();
                try {
                    attempt(machine, id);
                } catch (IOException exception) {
                    record.line("requester's channel to " + machine.name + " for " + id + " breaks after event " + lastId);
                }
                Client.sleep(RETRY_MILLIS);
            }
            ended.countDown();
        }

        private void attempt(Deployment.Machine machine, String id) throws IOException {
            try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), machine.front)) {
                long leftMillis = Math.max(1, (long) ((deadlineSeconds - record.seconds()) * 1_000));
                socket.setSoTimeout((int) leftMillis);
                String resumption = lastId == 0 ? "" : "Last-Event-Id: " + lastId + "\r\nResumes: " + first + "\r\n";
                String request = Client.request(id, "POST", "/notes/x", "key-1", leftMillis, "prompt")
                        .replace("Content-Length", resumption + "X-Model: m\r\nX-Token-Count: 1460,171\r\nContent-Length");
                socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
                InputStream input = new BufferedInputStream(socket.getInputStream());
                HttpPeer.Message head = HttpPeer.readHead(input);
                if (head == null) {
                    throw new IOException("closed");
                }
                record.line("requester sent " + id + " to " + machine.name
                        + (lastId == 0 ? "" : " to take up " + first + " after event " + lastId) + ", status " + head.status());
                if (head.status() == 200) {
                    readEvents(input, id);
                }
            }
        }

        private void readEvents(InputStream input, String id) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int read = input.read(); read >= 0; read = input.read()) {
                if (read != '\n') {
                    line.append((char) read);
                    continue;
                }
                readLine(line.toString().trim(), id);
                line.setLength(0);
                if (complete) {
                    return;
                }
            }
            throw new IOException("closed");
        }

        private synchronized void readLine(String line, String id) {
            if (line.startsWith("id: ")) {
                lastId = Integer.parseInt(line.substring(4));
                first = first.isEmpty() ? id : first;
            } else if (line.startsWith("data: ")) {
                versions.add(line.substring(6));
            } else if (line.equals("0")) {
                complete = true;
            }
        }
    }
}
