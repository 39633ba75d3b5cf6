import java.io.IOException;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Case;
import standin.Client;
import standin.Clock;
import standin.Message;
import standin.Node;
import standin.Record;
import standin.Store;
import standin.Worker;

/** New requesters come all the time, and keep their channels when they have their answer. */
public final class Idle {

    /** The descriptors of a small machine. */
    private static final int DESCRIPTORS = 2_212;

    private static final long TRAFFIC_MILLIS = 90_000;

    /** The time between two new requesters: 30 come in a second. */
    private static final long BETWEEN_MILLIS = 33;

    private static final int TIMEOUT_MILLIS = 1_600;

    /** What the rule allows beyond the route's timeout. */
    private static final int SLACK_MILLIS = 500;

    private static final String CONFIGURATION = """
            {"version":4,"routes":[{"name":"r-lookup","host":"a.example","path_prefix":"/lookup/","kind":"idempotent",\
            "timeout_ms":1600,"target_latency_ms":151,"priority":2,"service":"tender","max_attempts":2,"public":false}],\
            "services":[{"name":"tender","health_path":"/health","max_conns":440,"protocol":"h1","tls":false}],\
            "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},\
            "tenants":[{"name":"hule930","api_keys":["k1"]}]}""";

    /** The requests that had no answer at the timeout of their route, and those that had none half a second later. */
    private final AtomicInteger unanswered = new AtomicInteger();

    private final AtomicInteger neverAnswered = new AtomicInteger();

    /** The requesters that have their answer and keep their channel. */
    private final Queue<Client> idle = new ConcurrentLinkedQueue<>();

    private final Record record;

    private final boolean trouble;

    private Idle(Record record, boolean trouble) {
        this.record = record;
        this.trouble = trouble;
    }

    public static void main(String[] arguments) {
        Case.main(arguments[0], (setting, record, trouble) -> new Idle(record, trouble).run(setting));
    }

    private List<String> run(Case setting) throws IOException {
        Store store = new Store(record, 300_000);
        int port = store.listen();
        store.put("keyed.op", "config", CONFIGURATION);
        for (int number = 0; number < 3; number++) {
            new Worker("i-" + number, "tender", "za", store, record, (worker, request, channel) -> {
                Clock.sleep(20);
                Worker.succeed(worker, request, channel, "found");
            });
        }
        Node node = setting.node("front-za-1", "za", port, 300);
        node.limitDescriptors(DESCRIPTORS);
        node.start();
        node.awaitReady();
        Clock.sleep(1_500);
        ExecutorService requesters = Executors.newCachedThreadPool(run -> {
            Thread thread = new Thread(run);
            thread.setDaemon(true);
            return thread;
        });
        long startMillis = Clock.millis();
        for (int number = 0; Clock.millis() < startMillis + TRAFFIC_MILLIS; number++) {
            requesters.submit(() -> ask(node));
            if (number % 300 == 0) {
                record.line("requester " + number + "; the node has " + node.openDescriptors() + " descriptors in use");
            }
            Clock.sleepUntil(startMillis + number * BETWEEN_MILLIS);
        }
        Clock.sleep(TIMEOUT_MILLIS + SLACK_MILLIS);
        String found = unanswered + " requests had no answer at their route's timeout, " + neverAnswered + " had none "
                + SLACK_MILLIS + " ms later; the node has " + node.openDescriptors() + " descriptors in use";
        record.line(found);
        System.out.println(found);
        return 2 * neverAnswered.get() > unanswered.get() ? List.of("CONFIG: " + found) : List.of();
    }

    /** Sends one request on a new channel, which is kept. */
    private void ask(Node node) {
        Client client = new Client(node.frontPort(), record);
        long sentMillis = Clock.millis();
        Message answer = client.send(Client.newId(), "GET", "/lookup/a", "k1", TIMEOUT_MILLIS, "", new byte[0]);
        long elapsedMillis = Clock.millis() - sentMillis;
        if (elapsedMillis >= TIMEOUT_MILLIS) {
            unanswered.incrementAndGet();
        }
        if (elapsedMillis > TIMEOUT_MILLIS + SLACK_MILLIS) {
            neverAnswered.incrementAndGet();
        }
        if (trouble && answer != null) {
            idle.add(client);
        } else {
            client.close();
        }
    }
}
