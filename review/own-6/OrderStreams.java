import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import standin.Case;
import standin.Client;
import standin.Deployment;
import standin.Platform;
import standin.Record;
import standin.Store;
import standin.Worker;

/** Many streams and plain requests over many hosts, whose servers break off, repeat and spoil answers; each is judged by its caller. */
public final class OrderStreams {

    private static final int DRAIN_MILLIS = 2_000;

    private OrderStreams() {}

    public static void main(String[] arguments) {
        Case.main(arguments[0], OrderStreams::run);
    }

    private static int run(Path repository, Record record, String trouble) throws Exception {
        long seed = setting("SEED", 1);
        int hosts = setting("HOSTS", 3);
        int servers = setting("SERVERS", 6);
        int streams = setting("STREAMS", 120);
        int plain = setting("PLAIN", 60);
        String disruption = System.getenv().getOrDefault("DISRUPTION", "none");
        Set<FaultyServer.Fault> faults = faults(trouble);
        double share = Double.parseDouble(System.getenv().getOrDefault("SHARE", "0.33"));
        FaultyServer program = new FaultyServer(seed, faults, share);
        Store store = new Store();
        Platform platform = new Platform(record);
        List<Worker> notes = new ArrayList<>();
        for (int number = 1; number <= servers; number++) {
            notes.add(new Worker("i-" + number, "notes", "east-a", "v1", store, record, program));
        }
        for (int number = 1; number <= 3; number++) {
            new Worker("p-" + number, "ledger", "east-a", "v1", store, record, program);
        }
        store.put("keyed.op", "config", configuration());
        try (Deployment deployment = new Deployment(repository, record, store, platform, 5)) {
            List<Deployment.Machine> machines = new ArrayList<>();
            for (int number = 1; number <= hosts; number++) {
                machines.add(deployment.add("front-" + number, "east-a"));
            }
            for (Deployment.Machine machine : machines) {
                machine.awaitReady();
            }
            List<Caller> callers = new ArrayList<>();
            ExecutorService threads = Executors.newCachedThreadPool();
            Thread disrupter = new Thread(() -> disrupt(disruption, machines, notes, store, record, program, seed));
            disrupter.setDaemon(true);
            disrupter.start();
            Random random = new Random(seed);
            for (int number = 0; number < streams + plain; number++) {
                String path = number % (streams + plain) < streams ? "/notes/x" : number % 2 == 0 ? "/once/x" : "/safe/x";
                Caller caller = new Caller(machines, random.nextInt(hosts), path, record);
                callers.add(caller);
                threads.execute(caller);
                Client.sleep(30);
            }
            threads.shutdown();
            threads.awaitTermination(20, TimeUnit.SECONDS);
            keepLogs(repository.resolve("review/target/logs"), machines);
            return judge(callers, program, record);
        }
    }

    private static void keepLogs(Path folder, List<Deployment.Machine> machines) throws IOException {
        Files.createDirectories(folder);
        for (Deployment.Machine machine : machines) {
            Files.writeString(folder.resolve(machine.name + ".log"), machine.log());
        }
    }

    /** Disrupts the hosts, or replaces servers by those of a newer version, until the callers have ended. */
    private static void disrupt(
            String disruption,
            List<Deployment.Machine> machines,
            List<Worker> notes,
            Store store,
            Record record,
            FaultyServer program,
            long seed) {
        Random random = new Random(seed + 1);
        try {
            if (disruption.contains("release")) {
                Thread releases = new Thread(() -> release(notes, store, record, program));
                releases.setDaemon(true);
                releases.start();
            }
            while (disruption.contains("freeze") || disruption.contains("kill") || disruption.contains("power")) {
                Client.sleep(1_200);
                Deployment.Machine machine = machines.get(random.nextInt(machines.size()));
                if (disruption.contains("power")) {
                    for (Deployment.Machine each : machines) {
                        each.signal("KILL");
                    }
                    Client.sleep(1_300);
                    for (Deployment.Machine each : machines) {
                        each.awaitEnd(5);
                        each.start();
                    }
                    Client.sleep(2_500);
                } else if (disruption.contains("kill") && random.nextBoolean()) {
                    machine.signal("KILL");
                    machine.awaitEnd(5);
                    Client.sleep(300);
                    machine.start();
                } else if (disruption.contains("freeze")) {
                    machine.signal("STOP");
                    Client.sleep(300);
                    machine.signal("CONT");
                }
            }
        } catch (IOException exception) {
            record.line("disruption fails: " + exception.getMessage());
        }
    }

    /** Replaces the servers one after the other. */
    private static void release(List<Worker> notes, Store store, Record record, FaultyServer program) {
        try {
            for (int number = 0; number < notes.size(); number++) {
                new Worker("n-" + number, "notes", "east-a", "v2", store, record, program);
                Client.sleep(700);
                Worker leaving = notes.get(number);
                leaving.drain();
                Thread end = new Thread(() -> {
                    Client.sleep(DRAIN_MILLIS + 300);
                    try {
                        leaving.leave();
                    } catch (IOException exception) {
                        record.line("worker can't leave: " + exception.getMessage());
                    }
                });
                end.setDaemon(true);
                end.start();
            }
        } catch (IOException exception) {
            record.line("release fails: " + exception.getMessage());
        }
    }

    private static int judge(List<Caller> callers, FaultyServer program, Record record) {
        int broken = 0;
        int joined = 0;
        int complete = 0;
        int unframed = 0;
        int unframedEarly = 0;
        int unframedEarlyStreams = 0;
        int incomplete = 0;
        for (Caller caller : callers) {
            broken += caller.broken.isEmpty() ? 0 : 1;
            caller.broken.forEach(line -> say(record, "broken: " + line));
            joined += caller.versions().contains(",") ? 1 : 0;
            complete += caller.complete ? 1 : 0;
            unframed += caller.endedWithoutFraming ? 1 : 0;
            unframedEarly += caller.endedEarlyWithoutFraming ? 1 : 0;
            unframedEarlyStreams += caller.endedEarlyWithoutFraming && caller.streams() ? 1 : 0;
            incomplete += !caller.complete && !caller.endedWithoutFraming ? 1 : 0;
            broken += judgeRuns(caller, program, record);
        }
        say(record, "faults played: " + program.played);
        say(record, callers.size() + " callers: " + complete + " complete, " + unframed + " ended without framing ("
                + unframedEarly + " early, " + unframedEarlyStreams + " of them streams), " + incomplete + " not complete; " + broken + " broken, " + joined
                + " hold two versions");
        return broken > 0 || joined > 0 ? 1 : 0;
    }

    /** Judges requests that may not be repeated: at most one run, and none where the answer states that it has not run. */
    private static int judgeRuns(Caller caller, FaultyServer program, Record record) {
        int broken = 0;
        for (String id : caller.ids) {
            int runs = program.runs.containsKey(id) ? program.runs.get(id).get() : 0;
            boolean once = !caller.streams() && caller.ids.size() > 0 && caller.isOnce();
            if (once && runs > 1) {
                say(record, "broken: " + id + " ran " + runs + " times");
                broken++;
            }
            if (runs > 0 && caller.rejected.contains(id)) {
                say(record, (once ? "broken: " : "seen, repeatable: ") + id + " was answered 'not run' and ran");
                broken += once ? 1 : 0;
            }
        }
        return broken;
    }

    private static void say(Record record, String line) {
        record.line(line);
        System.out.println(line);
    }

    private static int setting(String name, int otherwise) {
        return Integer.parseInt(System.getenv().getOrDefault(name, Integer.toString(otherwise)));
    }

    private static Set<FaultyServer.Fault> faults(String trouble) {
        Set<FaultyServer.Fault> faults = EnumSet.noneOf(FaultyServer.Fault.class);
        if (trouble.equals("0")) {
            return faults;
        }
        String named = System.getenv().getOrDefault("FAULTS", "");
        if (named.isEmpty()) {
            return EnumSet.allOf(FaultyServer.Fault.class);
        }
        for (String name : named.split(",")) {
            faults.add(FaultyServer.Fault.valueOf(name));
        }
        return faults;
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[" + route("r1", "/notes/", "streaming", "notes", true) + ","
                + route("r2", "/safe/", "idempotent", "ledger", false) + ","
                + route("r3", "/once/", "non_idempotent", "ledger", false)
                + "],\"services\":[{\"name\":\"notes\",\"health_path\":\"/health\",\"max_conns\":360,"
                + "\"engine\":{\"slots\":64,\"kv_capacity_tokens\":540877}},"
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
