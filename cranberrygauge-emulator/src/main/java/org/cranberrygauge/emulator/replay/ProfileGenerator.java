package org.cranberrygauge.emulator.replay;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * Generates the traces of all profiles for a deployment.
 *
 * <p>The same configuration, profile and seed always produce the same trace. Used by one thread.
 */
public final class ProfileGenerator {

    /** The length of a trace. */
    public static final long DURATION_MILLIS = 120_000;

    /** The time at which the event of a profile, such as a burst or a fault, begins. */
    public static final long EVENT_FROM_MILLIS = 40_000;

    /** The time at which the event of a profile ends. */
    public static final long EVENT_UNTIL_MILLIS = 80_000;

    /** The number of tokens that a slot of a fully loaded engine generates per second. */
    private static final double TOKENS_PER_SLOT_AND_SECOND = 50;

    /** Shapes of the chat classes from the highest tier to the lowest; the last one serves any further class. */
    private static final List<ClassShape> SHAPES =
            List.of(new ClassShape(0.4, 60, 300), new ClassShape(0.3, 150, 1_500), new ClassShape(0.3, 300, 3_000));

    /** The load of a bursting class relative to the capacity. */
    private static final double BURST_LOAD = 3;

    /** The additional load of the flooding customer relative to the capacity. */
    private static final double FLOOD_LOAD = 1.5;

    /** The rate of requests to each route. */
    private static final double CALLS_PER_SECOND = 3;

    private static final int MIN_OUTPUT_TOKENS = 8;

    private static final int MAX_OUTPUT_TOKENS = 2_048;

    /** The exponent of the Pareto distribution of heavy-tailed lengths. */
    private static final double TAIL_EXPONENT = 1.2;

    /** The number of prefix groups of each class in ordinary traces. */
    private static final int PREFIX_GROUPS = 40;

    /** The number of prefix groups, common to all classes, in traces with shared prefixes. */
    private static final int SHARED_PREFIX_GROUPS = 24;

    /** The length in tokens of prompts in traces with shared prefixes. */
    private static final int SHARED_PREFIX_PROMPT_TOKENS = 4_000;

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final double SLOW_ENGINE_FACTOR = 3;

    private static final double REPORT_LAG_MILLIS = 2 * MILLIS_PER_SECOND;

    private static final int FAILING_ENGINES = 3;

    private static final double FAILING_SHARE = 0.5;

    private static final long KEY_WITHDRAWN_MILLIS = 2 * (long) MILLIS_PER_SECOND;

    private final Configuration configuration;

    /** Classes without a route to a service, highest tier first. */
    private final List<ServiceClass> chatClasses;

    /** The capacity of all engines in tokens per second. */
    private final double capacity;

    public ProfileGenerator(Configuration configuration) {
        this.configuration = configuration;
        chatClasses = configuration.classes().stream()
                .filter(serviceClass -> configuration.routes().stream()
                        .noneMatch(route -> route.className().equals(serviceClass.name())))
                .sorted(Comparator.comparingInt(ServiceClass::tier))
                .toList();
        capacity = engines().stream().mapToInt(BackendServer::slots).sum() * TOKENS_PER_SLOT_AND_SECOND;
    }

    /** Generates a trace. */
    public Trace generate(TraceProfile profile, long seed) {
        Random random = new Random(seed * 1_000 + profile.ordinal());
        List<TraceRequest> requests = new ArrayList<>();
        for (int role = 0; role < chatClasses.size(); role++) {
            ClassShape shape = SHAPES.get(Math.min(role, SHAPES.size() - 1));
            ServiceClass serviceClass = chatClasses.get(role);
            List<Customer> customers = customersOf(serviceClass.name());
            double load = profile.load() * shape.loadShare();
            addChats(requests, profile, serviceClass, shape, customers, new Phase(load, 0, DURATION_MILLIS), random);
            if (isBursting(profile, role)) {
                addChats(
                        requests,
                        profile,
                        serviceClass,
                        shape,
                        customers,
                        new Phase(BURST_LOAD - load, EVENT_FROM_MILLIS, EVENT_UNTIL_MILLIS),
                        random);
            }
        }
        if (profile == TraceProfile.CUSTOMER_FLOOD) {
            Customer floodingCustomer = floodingCustomer();
            addChats(
                    requests,
                    profile,
                    chatClasses.get(0),
                    SHAPES.get(0),
                    List.of(floodingCustomer),
                    new Phase(FLOOD_LOAD, EVENT_FROM_MILLIS, EVENT_UNTIL_MILLIS),
                    random);
        }
        addCalls(requests, random);
        requests.sort(Comparator.comparingLong(TraceRequest::arrivalMillis).thenComparing(TraceRequest::callId));
        return new Trace(profile, seed, DURATION_MILLIS, requests, faults(profile));
    }

    /**
     * Returns the customer that floods in {@link TraceProfile#CUSTOMER_FLOOD}: the last one of the highest chat tier.
     */
    public Customer floodingCustomer() {
        List<Customer> customers = customersOf(chatClasses.get(0).name());
        return customers.get(customers.size() - 1);
    }

    /** Returns the classes without a route to a service, highest tier first. */
    public List<ServiceClass> chatClasses() {
        return chatClasses;
    }

    private boolean isBursting(TraceProfile profile, int role) {
        return profile == TraceProfile.HIGH_TIER_BURST && role == 0
                || profile == TraceProfile.LOW_TIER_BURST && role == chatClasses.size() - 1;
    }

    /** Adds the chats of a class, which arrive as a Poisson process. */
    private void addChats(
            List<TraceRequest> requests,
            TraceProfile profile,
            ServiceClass serviceClass,
            ClassShape shape,
            List<Customer> customers,
            Phase phase,
            Random random) {
        double perMilli = phase.load() * capacity / shape.meanOutput() / MILLIS_PER_SECOND;
        double atMillis = phase.fromMillis() + exponential(random) / perMilli;
        while (atMillis < phase.untilMillis()) {
            requests.add(chat(
                    (long) atMillis,
                    profile,
                    serviceClass.name(),
                    shape,
                    drawByWeight(customers, random),
                    requests.size(),
                    random));
            atMillis += exponential(random) / perMilli;
        }
    }

    private TraceRequest chat(
            long arrivalMillis,
            TraceProfile profile,
            String className,
            ClassShape shape,
            Customer customer,
            int number,
            Random random) {
        boolean shared = profile == TraceProfile.SHARED_PREFIXES;
        int groups = shared ? SHARED_PREFIX_GROUPS : PREFIX_GROUPS;
        String group = (shared ? "" : className + "-") + "group-" + random.nextInt(groups);
        int prompt = shared ? SHARED_PREFIX_PROMPT_TOKENS : shape.meanPrompt() / 2 + random.nextInt(shape.meanPrompt());
        double scale = profile == TraceProfile.HEAVY_TAIL
                ? (TAIL_EXPONENT - 1) / TAIL_EXPONENT * Math.pow(1 - random.nextDouble(), -1 / TAIL_EXPONENT)
                : exponential(random);
        int output = (int) Math.max(MIN_OUTPUT_TOKENS, Math.min(MAX_OUTPUT_TOKENS, scale * shape.meanOutput()));
        String model =
                configuration.models().get(random.nextInt(configuration.models().size()));
        return new TraceRequest(
                arrivalMillis,
                TraceRequest.Kind.CHAT,
                customer.name(),
                className,
                model,
                prompt,
                output,
                group,
                "",
                "",
                "chat-" + number);
    }

    /** Adds the calls to services; routes that are open to callers without a key get none. */
    private void addCalls(List<TraceRequest> requests, Random random) {
        for (ServiceRoute route : configuration.routes()) {
            if (route.open()) {
                continue;
            }
            List<Customer> customers = customersOf(route.className());
            double atMillis = exponential(random) * MILLIS_PER_SECOND / CALLS_PER_SECOND;
            while (atMillis < DURATION_MILLIS) {
                String callId = "call-" + requests.size();
                requests.add(new TraceRequest(
                        (long) atMillis,
                        TraceRequest.Kind.CALL,
                        drawByWeight(customers, random).name(),
                        route.className(),
                        "",
                        0,
                        0,
                        "",
                        route.method(),
                        "/services" + route.pathPrefix() + (route.method().equals("GET") ? "/" + callId : ""),
                        callId));
                atMillis += exponential(random) * MILLIS_PER_SECOND / CALLS_PER_SECOND;
            }
        }
    }

    private List<TraceFault> faults(TraceProfile profile) {
        List<BackendServer> engines = engines();
        return switch (profile) {
            case SLOW_ENGINE ->
                List.of(new TraceFault(
                        EVENT_FROM_MILLIS,
                        DURATION_MILLIS,
                        TraceFault.Kind.ENGINE_SLOW,
                        engines.get(0).name(),
                        SLOW_ENGINE_FACTOR));
            case LATE_LOADS ->
                List.of(new TraceFault(0, Long.MAX_VALUE, TraceFault.Kind.REPORTS_LATE, "", REPORT_LAG_MILLIS));
            case DATA_CENTRE_EVICTION ->
                List.of(new TraceFault(
                        EVENT_FROM_MILLIS,
                        EVENT_UNTIL_MILLIS,
                        TraceFault.Kind.DATA_CENTRE_EVICTED,
                        configuration.dataCentres().get(1).name(),
                        1));
            case KEY_CHURN -> keyChurn();
            case RETRY_STORM ->
                engines.subList(0, FAILING_ENGINES).stream()
                        .map(engine -> new TraceFault(
                                EVENT_FROM_MILLIS,
                                EVENT_UNTIL_MILLIS,
                                TraceFault.Kind.ENGINE_FAILING,
                                engine.name(),
                                FAILING_SHARE))
                        .toList();
            case LOG_OUTAGE -> List.of(new TraceFault(0, Long.MAX_VALUE, TraceFault.Kind.LOG_OUTAGE, "", 1));
            case GATEWAY_KILLED ->
                List.of(new TraceFault(EVENT_FROM_MILLIS, Long.MAX_VALUE, TraceFault.Kind.GATEWAY_KILLED, "1", 1));
            default -> List.of();
        };
    }

    /** Withdraws the keys of one customer after another for two seconds each. */
    private List<TraceFault> keyChurn() {
        List<TraceFault> faults = new ArrayList<>();
        List<Customer> customers = configuration.customers();
        long step = DURATION_MILLIS / (customers.size() + 1);
        for (int index = 0; index < customers.size(); index++) {
            long from = step * (index + 1);
            faults.add(new TraceFault(
                    from,
                    from + KEY_WITHDRAWN_MILLIS,
                    TraceFault.Kind.KEY_WITHDRAWN,
                    customers.get(index).name(),
                    1));
        }
        return faults;
    }

    private List<BackendServer> engines() {
        return configuration.backendServers().stream()
                .filter(server -> server.kind() == BackendKind.MODEL)
                .toList();
    }

    private List<Customer> customersOf(String className) {
        return configuration.customers().stream()
                .filter(customer -> customer.classes().contains(className))
                .toList();
    }

    private static Customer drawByWeight(List<Customer> customers, Random random) {
        int left = random.nextInt(customers.stream().mapToInt(Customer::weight).sum());
        for (Customer customer : customers) {
            left -= customer.weight();
            if (left < 0) {
                return customer;
            }
        }
        throw new IllegalStateException("random number exceeds the sum of weights");
    }

    /** Draws from the exponential distribution with mean 1. */
    private static double exponential(Random random) {
        return -Math.log(1 - random.nextDouble());
    }

    /**
     * The shape of the requests of a class.
     *
     * @param loadShare The share of the load of all chat classes.
     * @param meanOutput The mean output length in tokens.
     * @param meanPrompt The mean prompt length in tokens.
     */
    private record ClassShape(double loadShare, double meanOutput, int meanPrompt) {}

    /**
     * A period with constant load.
     *
     * @param load The load relative to the capacity.
     * @param fromMillis The start of the period.
     * @param untilMillis The end of the period.
     */
    private record Phase(double load, long fromMillis, long untilMillis) {}
}
