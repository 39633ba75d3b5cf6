import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import standin.Case;
import standin.Client;
import standin.Deployment;
import standin.Platform;
import standin.Record;
import standin.Store;
import standin.Worker;

/** All machines lose power while the store is away for a moment and comes back from a copy some seconds old. */
public final class LostReport {

    private static final int WINDOW_SECONDS = 5;

    /** The age of the copy from which the store comes back. */
    private static final double COPY_AGE_SECONDS = 4;

    /** How long the store is away, and the machines are without power. */
    private static final int AWAY_MILLIS = 1_000;

    private static final int COPY_INTERVAL_MILLIS = 250;

    private static final int REQUEST_INTERVAL_MILLIS = 40;

    /** The reports that are accepted before the power is lost. */
    private static final int REPORTS = 3;

    private LostReport() {}

    public static void main(String[] arguments) {
        Case.main(arguments[0], LostReport::run);
    }

    private static int run(Path repository, Record record, String trouble) throws Exception {
        Store store = new Store();
        Platform platform = new Platform(record);
        List<Worker> workers = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            String zone = "east-" + "abc".charAt(number - 1);
            workers.add(new Worker("i-" + number, "ledger", zone, store, record, Worker.shortAnswers()));
        }
        store.put("keyed.op", "config", configuration());
        AtomicBoolean over = new AtomicBoolean();
        try (Deployment deployment = new Deployment(repository, record, store, platform, WINDOW_SECONDS)) {
            List<Deployment.Machine> machines = new ArrayList<>();
            for (String zone : List.of("east-a", "east-b", "east-c")) {
                machines.add(deployment.add("front-" + zone, zone));
            }
            for (Deployment.Machine machine : machines) {
                machine.awaitReady();
            }
            send(machines, record, over);
            int status = watch(machines, workers, store, platform, record, trouble);
            over.set(true);
            return status;
        }
    }

    /** Sends requests of two tenants to the machines in turn. */
    private static void send(List<Deployment.Machine> machines, Record record, AtomicBoolean over) {
        ExecutorService requesters = Executors.newFixedThreadPool(16, run -> {
            Thread thread = new Thread(run);
            thread.setDaemon(true);
            return thread;
        });
        Thread clock = new Thread(() -> {
            for (int number = 0; !over.get(); number++) {
                Deployment.Machine machine = machines.get(number % machines.size());
                String key = number % 4 == 0 ? "key-2" : "key-1";
                requesters.execute(() -> request(machine, key, record));
                Client.sleep(REQUEST_INTERVAL_MILLIS);
            }
        });
        clock.setDaemon(true);
        clock.start();
    }

    private static void request(Deployment.Machine machine, String key, Record record) {
        String id = Client.newId();
        String result;
        try {
            result = "status " + Client.call(machine.front, Client.request(id, "GET", "/ledger/x", key, 4_000, ""), 4_000)
                    .status();
        } catch (IOException exception) {
            result = "no answer";
        }
        record.line("requester sent " + id + " to " + machine.name + ", " + result);
    }

    /** Returns 1 if the platform has accepted two reports for one window with different counts. */
    private static int watch(
            List<Deployment.Machine> machines,
            List<Worker> workers,
            Store store,
            Platform platform,
            Record record,
            String trouble)
            throws IOException {
        Deque<Copy> copies = new ArrayDeque<>();
        while (platform.accepted().size() < REPORTS) {
            copies.addLast(new Copy(record.seconds(), store.copy()));
            if (record.seconds() > 60) {
                throw new IOException("no reports");
            }
            Client.sleep(COPY_INTERVAL_MILLIS);
        }
        if (!trouble.equals("0")) {
            disrupt(machines, workers, store, record, copies, trouble);
        }
        Client.sleep(20_000);
        int status = 0;
        for (Map.Entry<String, List<String>> window : platform.accepted().entrySet()) {
            record.line("window " + window.getKey() + " was reported as " + window.getValue());
            if (window.getValue().size() > 1) {
                status = 1;
            }
        }
        return status;
    }

    /** @param trouble Which disruption is left out: "power" has the loss of power alone, "copy" the older copy alone. */
    private static void disrupt(
            List<Deployment.Machine> machines,
            List<Worker> workers,
            Store store,
            Record record,
            Deque<Copy> copies,
            String trouble)
            throws IOException {
        boolean power = !trouble.equals("copy");
        boolean older = !trouble.equals("power");
        double now = record.seconds();
        Copy old = copies.getFirst();
        for (Copy copy : copies) {
            if (now - copy.seconds() >= COPY_AGE_SECONDS) {
                old = copy;
            }
        }
        for (Deployment.Machine machine : machines) {
            if (power) {
                machine.signal("KILL");
            }
        }
        if (older) {
            store.leave();
            record.line("the store is away");
        }
        Client.sleep(AWAY_MILLIS);
        if (older) {
            store.comeBackFrom(old.store());
            workers.forEach(Worker::register);
            store.put("keyed.op", "config", configuration());
            record.line("the store is back from a copy of "
                    + String.format("%.1f s before it went", now - old.seconds()));
        }
        for (Deployment.Machine machine : machines) {
            if (power) {
                machine.awaitEnd(10);
                machine.start();
            }
        }
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[{\"name\":\"r1\",\"host\":\"api.example\",\"path_prefix\":\"/ledger/\","
                + "\"kind\":\"idempotent\",\"timeout_ms\":4000,\"target_latency_ms\":386,\"priority\":1,"
                + "\"service\":\"ledger\",\"max_attempts\":2,\"public\":false}],"
                + "\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":100}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"]},"
                + "{\"name\":\"tenant-2\",\"api_keys\":[\"key-2\"]}]}";
    }

    /** A copy of the store and the time at which it was taken. */
    private record Copy(double seconds, Store.Copy store) {}
}
