package org.cranberrygauge.verification.benchmark;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.admission.QueuedRequest;
import org.cranberrygauge.decision.admission.Refusal;
import org.cranberrygauge.decision.dispatch.DispatchListener;
import org.cranberrygauge.decision.dispatch.DispatchPolicy;
import org.cranberrygauge.decision.dispatch.Dispatcher;
import org.cranberrygauge.decision.dispatch.Eligibility;
import org.cranberrygauge.decision.routing.RoutingPolicy;
import org.cranberrygauge.decision.routing.RoutingRequest;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.service.ServiceClass;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures one dispatch decision: a request is admitted to the queue of a system at capacity, a slot is released, and
 * the next request starts on a backend server.
 *
 * <p>Not thread-safe.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 4, time = 1)
public class DecisionBenchmark implements DispatchListener {

    private static final int CUSTOMERS = 670;

    private static final int TIERS = 8;

    private static final int MODELS = 7;

    /** The slots of a backend server. */
    private static final int SLOTS = 8;

    private static final int QUEUED = 1_000;

    private static final int PROMPT_TOKENS = 400;

    /** The maximum length of an answer. */
    private static final int MAXIMUM_OUTPUT_TOKENS = 400;

    private static final int PREFIXES = 1_000;

    /** The time between two decisions. */
    private static final long STEP_MILLIS = 1;

    /** The number of backend servers. */
    @Param({"13", "100", "940"})
    public int servers;

    /** The routing policy. */
    @Param({"ours", "least-in-flight"})
    public String routing;

    private Dispatcher dispatcher;

    /** The running requests in the order of their starts. */
    private final Deque<Running> running = new ArrayDeque<>();

    private Random random;

    private long requests;

    private long nowMillis;

    /** The names of customers, created in advance. */
    private final String[] customers = new String[CUSTOMERS];

    /** The prefix digests, created in advance. */
    private final String[] prefixes = new String[PREFIXES];

    /** Fills all slots and the queue. */
    @Setup(Level.Iteration)
    public void fill() {
        running.clear();
        random = new Random(1);
        requests = 0;
        nowMillis = 0;
        for (int index = 0; index < CUSTOMERS; index++) {
            customers[index] = "customer-" + index;
        }
        for (int index = 0; index < PREFIXES; index++) {
            prefixes[index] = "prefix-" + index;
        }
        DispatchPolicy policy = DispatchPolicy.standard();
        if (routing.equals("least-in-flight")) {
            policy = policy.withRouting(RoutingPolicy.LeastInFlight.INSTANCE);
        }
        dispatcher = new Dispatcher(policy, this, random);
        dispatcher.table().configure(backendServers());
        dispatcher.configure(classes());
        for (int index = 0; index < servers * SLOTS + QUEUED; index++) {
            submit();
        }
    }

    /** Admits one request, releases one slot and starts the next request. */
    @Benchmark
    public void decide() {
        nowMillis += STEP_MILLIS;
        submit();
        Running ended = running.pollFirst();
        if (ended != null) {
            dispatcher.finished(ended.requestId(), PROMPT_TOKENS + MAXIMUM_OUTPUT_TOKENS / 2);
            dispatcher.ended(nowMillis, ended.requestId(), ended.server());
        }
    }

    @Override
    public void start(QueuedRequest request, BackendServer server, boolean guaranteed) {
        running.addLast(new Running(request.requestId(), server.name()));
    }

    @Override
    public void refuse(Refusal refusal) {
        // Nothing to release for a refused request.
    }

    @Override
    public void preempt(long requestId) {
        // Preemption is decided in ticks, which this benchmark doesn't run.
    }

    private void submit() {
        requests++;
        String model = "model-" + random.nextInt(MODELS);
        QueuedRequest request = new QueuedRequest(
                requests,
                customers[random.nextInt(CUSTOMERS)],
                1,
                "class-" + random.nextInt(TIERS),
                model,
                PROMPT_TOKENS + MAXIMUM_OUTPUT_TOKENS,
                nowMillis,
                nowMillis + TimeUnit.HOURS.toMillis(1));
        RoutingRequest prompt = new RoutingRequest(model, prefixes[random.nextInt(PREFIXES)], PROMPT_TOKENS);
        dispatcher.submit(nowMillis, request, prompt, true, Eligibility.Any.INSTANCE);
    }

    /** Creates backend servers that each serve all models. */
    private List<BackendServer> backendServers() {
        List<BackendServer> list = new ArrayList<>();
        Set<String> models = Set.of("model-0", "model-1", "model-2", "model-3", "model-4", "model-5", "model-6");
        for (int index = 0; index < servers; index++) {
            list.add(new BackendServer(
                    "engine-" + index,
                    new NetworkAddress("127.0.0.1", 1),
                    "centre-" + index % MODELS,
                    BackendKind.MODEL,
                    models,
                    Supply.REGULAR,
                    SLOTS,
                    true));
        }
        return list;
    }

    /** Creates one class per tier, with targets so long that nothing is refused. */
    private static List<ServiceClass> classes() {
        List<ServiceClass> list = new ArrayList<>();
        long hour = TimeUnit.HOURS.toMillis(1);
        for (int tier = 0; tier < TIERS; tier++) {
            list.add(new ServiceClass("class-" + tier, tier, 0.05, hour, 100, hour, 100_000));
        }
        return list;
    }

    /** A request that occupies a slot of a backend server. */
    private record Running(long requestId, String server) {}
}
