import java.io.IOException;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Case;
import standin.Client;
import standin.Clock;
import standin.Message;
import standin.Node;
import standin.Record;
import standin.Store;
import standin.Worker;

/** The workers of a service fail a part of their requests after they have begun to work on them. */
public final class Refused {

    private static final int WORKERS = 3;

    private static final long TROUBLE_MILLIS = 4_000;

    private static final double FAILING_PART = 0.45;

    private static final int TIMEOUT_MILLIS = 1_000;

    private static final String CONFIGURATION = """
            {"version":4,"routes":[{"name":"r-book","host":"a.example","path_prefix":"/book/","kind":"non_idempotent",\
            "timeout_ms":1000,"target_latency_ms":193,"priority":2,"service":"ledger","max_attempts":1,"public":false}],\
            "services":[{"name":"ledger","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},\
            "tenants":[{"name":"hule930","api_keys":["k1"]}]}""";

    /** The statuses that promise that a request has not run and never will. */
    private static final List<Integer> PROMISES = List.of(408, 421, 429, 503);

    private final AtomicBoolean traffic = new AtomicBoolean(true);

    private final AtomicBoolean failing = new AtomicBoolean();

    private final AtomicInteger bookings = new AtomicInteger();

    /** The attempts that ran, with the booking that each was for. */
    private final Map<String, String> ran = new ConcurrentHashMap<>();

    /** The attempts that were answered with a promise. */
    private final Map<String, Integer> promised = new ConcurrentHashMap<>();

    private final Record record;

    private Refused(Record record) {
        this.record = record;
    }

    public static void main(String[] arguments) {
        Case.main(arguments[0], (setting, record, trouble) -> new Refused(record).run(setting, trouble));
    }

    private List<String> run(Case setting, boolean trouble) throws IOException {
        Store store = new Store(record, 300_000);
        int port = store.listen();
        store.put("keyed.op", "config", CONFIGURATION);
        for (int number = 0; number < WORKERS; number++) {
            new Worker("i-" + number, "ledger", "za", store, record, new Ledger(number));
        }
        Node node = setting.node("front-za-1", "za", port, 300);
        node.start();
        node.awaitReady();
        Clock.sleep(1_500);
        for (int number = 0; number < 4; number++) {
            Thread thread = new Thread(() -> book(node));
            thread.setDaemon(true);
            thread.start();
        }
        Clock.sleep(2_000);
        failing.set(trouble);
        Clock.sleep(TROUBLE_MILLIS);
        failing.set(false);
        Clock.sleep(2_000);
        traffic.set(false);
        Clock.sleep(TIMEOUT_MILLIS);
        return judge();
    }

    private List<String> judge() {
        List<String> broken = new ArrayList<>();
        promised.forEach((attempt, status) -> {
            if (ran.containsKey(attempt)) {
                broken.add("REFUSED: attempt " + attempt + " of " + ran.get(attempt) + " has run and is answered " + status);
            }
        });
        record.line(bookings + " bookings, " + promised.size() + " attempts answered with a promise, " + broken.size()
                + " of them have run");
        return broken;
    }

    /** Books, and tries once more after a promise, with an attempt id of its own. */
    private void book(Node node) {
        try (Client client = new Client(node.frontPort(), record)) {
            while (traffic.get()) {
                String booking = "/book/" + bookings.incrementAndGet();
                for (int attempt = 0; attempt < 2; attempt++) {
                    String id = Client.newId();
                    Message answer = client.send(id, "POST", booking, "k1", TIMEOUT_MILLIS, "", new byte[600]);
                    if (answer == null || !PROMISES.contains(answer.status())) {
                        break;
                    }
                    promised.put(id, answer.status());
                }
                Clock.sleep(40);
            }
        }
    }

    /** A worker of the ledger. */
    private final class Ledger implements Worker.Behaviour {

        private final Random random;

        private Ledger(int number) {
            this.random = new Random(number);
        }

        @Override
        public void answer(Worker worker, Message request, Socket channel) throws IOException {
            ran.put(request.header("X-Attempt-Id"), request.target());
            Clock.sleep(60);
            if (failing.get() && random.nextDouble() < FAILING_PART) {
                String head = Worker.head(worker, request).replace("200 OK", "503 Service Unavailable");
                record.line("worker " + worker.id() + ": has failed " + request.header("X-Attempt-Id") + " with 503");
                Worker.write(channel, head + "Content-Length: 0\r\n\r\n");
                return;
            }
            Worker.succeed(worker, request, channel, "booked");
        }
    }
}
