import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import standin.Case;
import standin.Deployment;
import standin.Platform;
import standin.Record;
import standin.Store;
import standin.Worker;

/** Many callers ask servers that write a share of their answers once more on kept connections, and judge what they get. */
public final class MixedAnswers {

    private static final int LONGEST_RUN_SECONDS = 300;

    private static final int WINDOW_SECONDS = 5;

    private MixedAnswers() {}

    public static void main(String[] arguments) {
        Case.main(arguments[0], MixedAnswers::run);
    }

    private static int run(Path repository, Record record, String trouble) throws Exception {
        MixedSettings settings = MixedSettings.read(!trouble.equals("0"));
        say(record, settings.toString());
        RepeatingServer server = new RepeatingServer(settings);
        Store store = new Store();
        for (int number = 1; number <= settings.servers(); number++) {
            new Worker("i-" + number, "ledger", "east-a", store, record, server);
        }
        store.put("keyed.op", "config", configuration());
        try (Deployment deployment = new Deployment(repository, record, store, new Platform(record), WINDOW_SECONDS)) {
            List<Deployment.Machine> machines = start(deployment, settings.hosts());
            AnswerJudge judge = new AnswerJudge(server);
            List<KeptCaller> callers = ask(settings, machines, judge, record);
            callers.forEach(caller -> caller.got.forEach(judge::judgeAtEnd));
            HostLogs logs = HostLogs.read(machines, repository.resolve("review/target/logs"));
            int wrong = report(settings, callers, server, record);
            logs.lines().forEach(line -> say(record, line));
            return wrong > 0 ? 1 : 0;
        }
    }

    private static List<Deployment.Machine> start(Deployment deployment, int hosts) throws Exception {
        List<Deployment.Machine> machines = new ArrayList<>();
        for (int number = 1; number <= hosts; number++) {
            machines.add(deployment.add("front-" + number, "east-a"));
        }
        for (Deployment.Machine machine : machines) {
            machine.awaitReady();
        }
        return machines;
    }

    private static List<KeptCaller> ask(
            MixedSettings settings, List<Deployment.Machine> machines, AnswerJudge judge, Record record)
            throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<KeptCaller> callers = new ArrayList<>();
        for (int number = 0; number < settings.callers(); number++) {
            KeptCaller caller =
                    new KeptCaller(settings, number, machines.get(number % machines.size()), judge, record);
            callers.add(caller);
            threads.execute(caller);
        }
        threads.shutdown();
        if (!threads.awaitTermination(LONGEST_RUN_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("callers still wait after " + LONGEST_RUN_SECONDS + " s");
        }
        return callers;
    }

    /** Prints the counts, and returns the number of wrong answers. */
    private static int report(
            MixedSettings settings, List<KeptCaller> callers, RepeatingServer server, Record record) {
        Map<AnswerJudge.Wrong, Integer> kinds = new EnumMap<>(AnswerJudge.Wrong.class);
        Map<String, Integer> statuses = new TreeMap<>();
        int requests = 0;
        int wrong = 0;
        int failures = 0;
        int broken = 0;
        for (KeptCaller caller : callers) {
            for (KeptCaller.Got got : caller.got) {
                requests++;
                wrong += got.wrong.isEmpty() ? 0 : 1;
                got.wrong.forEach(kind -> kinds.merge(kind, 1, Integer::sum));
                statuses.merge(got.status + (got.stamped ? " of a server" : " without a stamp"), 1, Integer::sum);
                failures += got.isFailureOfTheHost() ? 1 : 0;
                broken += got.status != 0 && !got.complete ? 1 : 0;
            }
        }
        say(record, requests + " requests, " + wrong + " wrong answers " + kinds + ", " + failures
                + " failures of the hosts' own (" + broken + " of them broken off)");
        say(record, "answers by status: " + statuses);
        say(record, server.copies + " copies written, " + server.leftOut + " left out; " + server.opened
                + " connections to the servers");
        return wrong + (settings.failuresAreWrong() ? failures : 0);
    }

    private static void say(Record record, String line) {
        record.line(line);
        System.out.println(line);
    }

    private static String configuration() {
        return "{\"version\":3,\"routes\":[" + route("r1", "/notes/", "streaming", true) + ","
                + route("r2", "/safe/", "idempotent", false) + "," + route("r3", "/once/", "non_idempotent", false)
                + "],\"services\":[{\"name\":\"ledger\",\"health_path\":\"/health\",\"max_conns\":360}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":12000,"
                + "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"key-1\"]}]}";
    }

    private static String route(String name, String prefix, String kind, boolean resumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"api.example\",\"path_prefix\":\"" + prefix + "\",\"kind\":\"" + kind
                + "\",\"timeout_ms\":12000,\"target_latency_ms\":600,\"priority\":0,\"service\":\"ledger\""
                + ",\"max_attempts\":2,\"public\":false,\"sticky\":" + resumable + ",\"resumable\":" + resumable
                + ",\"gap_target_ms\":400}";
    }
}
