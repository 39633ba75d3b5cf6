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
 * <p>Used by one thread; the same configuration, profile and seed give the same trace.
 */
public final class ProfileGenerator {

    /** The length of a trace in milliseconds. */
    public static final long DURATION_MILLIS = 120_000;

    /** The time at which what a profile is about begins in milliseconds. */
    public static final long EVENT_FROM_MILLIS = 40_000;

    /** The time at which it ends in milliseconds. */
    public static final long EVENT_UNTIL_MILLIS = 80_000;

    /** The tokens that a slot of a fully loaded engine generates in a second. */
    private static final double TOKENS_PER_SLOT = 50;

    /** The shape of the chat classes from the highest tier to the lowest. */
    private static final List<ClassShape> SHAPES =
            List.of(new ClassShape(0.4, 60, 300), new ClassShape(0.3, 150, 1_500), new ClassShape(0.3, 300, 3_000));

    /** The factor of capacity that a burst asks for. */
    private static final double BURST_LOAD = 3;

    /** The factor of capacity that a flooding customer asks for. */
    private static final double FLOOD_LOAD = 1.5;

    /** The requests to each route in a second. */
    private static final double CALLS_PER_SECOND = 3;

    /** The shortest answer in tokens. */
    private static final int SHORTEST_OUTPUT = 8;

    /** The longest answer in tokens. */
    private static final int LONGEST_OUTPUT = 2_048;

    /** The exponent of heavy-tailed lengths. */
    private static final double TAIL_EXPONENT = 1.2;

    /** The number of groups that share a prefix in ordinary traces, in each class. */
    private static final int PREFIX_GROUPS = 40;

    /** The number of groups where prefixes are shared by many. */
    private static final int FEW_PREFIX_GROUPS = 24;

    /** The prompt where prefixes are shared by many, in tokens. */
    private static final int LONG_PROMPT = 4_000;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The configuration. */
    private final Configuration configuration;

    /** The chat classes, the highest tier first. */
    private final List<ServiceClass> chatClasses;

    /** The capacity of all engines in tokens a second. */
    private final double capacity;

    /**
     * Creates a generator.
     *
     * @param configuration The configuration.
     */
    public ProfileGenerator(Configuration configuration) {
        this.configuration = configuration;
        chatClasses = configuration.classes().stream()
                .filter(serviceClass -> configuration.routes().stream()
                        .noneMatch(route -> route.className().equals(serviceClass.name())))
                .sorted(Comparator.comparingInt(ServiceClass::tier))
                .toList();
        capacity = engines().stream().mapToInt(BackendServer::slots).sum() * TOKENS_PER_SLOT;
    }

    /**
     * Generates a trace.
     *
     * @param profile The profile.
     * @param seed The seed.
     * @return The trace.
     */
    public Trace generate(TraceProfile profile, long seed) {
        Random random = new Random(seed * 1_000 + profile.ordinal());
        List<TraceRequest> requests = new ArrayList<>();
        for (int role = 0; role < chatClasses.size(); role++) {
            ClassShape shape = SHAPES.get(Math.min(role, SHAPES.size() - 1));
            ServiceClass serviceClass = chatClasses.get(role);
            List<Customer> customers = customersOf(serviceClass.name());
            double load = profile.load() * shape.loadShare();
            chats(requests, profile, serviceClass, shape, customers, new Phase(load, 0, DURATION_MILLIS), random);
            if (isBursting(profile, role)) {
                chats(
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
            Customer flooding = flooding();
            chats(
                    requests,
                    profile,
                    chatClasses.get(0),
                    SHAPES.get(0),
                    List.of(flooding),
                    new Phase(FLOOD_LOAD, EVENT_FROM_MILLIS, EVENT_UNTIL_MILLIS),
                    random);
        }
        calls(requests, random);
        requests.sort(Comparator.comparingLong(TraceRequest::arrivalMillis).thenComparing(TraceRequest::callId));
        return new Trace(profile, seed, DURATION_MILLIS, requests, faults(profile));
    }

    /**
     * Returns the customer that floods where one does.
     *
     * @return The last customer of the highest chat tier.
     */
    public Customer flooding() {
        List<Customer> customers = customersOf(chatClasses.get(0).name());
        return customers.get(customers.size() - 1);
    }

    /**
     * Returns the chat classes.
     *
     * @return The classes, the highest tier first.
     */
    public List<ServiceClass> chatClasses() {
        return chatClasses;
    }

    /**
     * Tells whether a class bursts.
     *
     * @param profile The profile.
     * @param role The position of the class from the highest tier.
     * @return Whether it does.
     */
    private boolean isBursting(TraceProfile profile, int role) {
        return profile == TraceProfile.HIGH_TIER_BURST && role == 0
                || profile == TraceProfile.LOW_TIER_BURST && role == chatClasses.size() - 1;
    }

    /**
     * Adds the chats of a class.
     *
     * @param requests Takes the requests.
     * @param profile The profile.
     * @param serviceClass The class.
     * @param shape The shape of the class.
     * @param customers The customers.
     * @param phase How much arrives when.
     * @param random The source of randomness.
     */
    private void chats(
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
                    byWeight(customers, random),
                    requests.size(),
                    random));
            atMillis += exponential(random) / perMilli;
        }
    }

    /**
     * Generates a chat.
     *
     * @param arrivalMillis The time of its arrival.
     * @param profile The profile.
     * @param className The name of the class.
     * @param shape The shape of the class.
     * @param customer The customer.
     * @param number The number of the request.
     * @param random The source of randomness.
     * @return The request.
     */
    private TraceRequest chat(
            long arrivalMillis,
            TraceProfile profile,
            String className,
            ClassShape shape,
            Customer customer,
            int number,
            Random random) {
        boolean shared = profile == TraceProfile.SHARED_PREFIXES;
        int groups = shared ? FEW_PREFIX_GROUPS : PREFIX_GROUPS;
        String group = (shared ? "" : className + "-") + "group-" + random.nextInt(groups);
        int prompt = shared ? LONG_PROMPT : shape.meanPrompt() / 2 + random.nextInt(shape.meanPrompt());
        double scale = profile == TraceProfile.HEAVY_TAIL
                ? (TAIL_EXPONENT - 1) / TAIL_EXPONENT * Math.pow(1 - random.nextDouble(), -1 / TAIL_EXPONENT)
                : exponential(random);
        int output = (int) Math.max(SHORTEST_OUTPUT, Math.min(LONGEST_OUTPUT, scale * shape.meanOutput()));
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

    /**
     * Adds the calls to plain services.
     *
     * @param requests Takes the requests.
     * @param random The source of randomness.
     */
    private void calls(List<TraceRequest> requests, Random random) {
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
                        byWeight(customers, random).name(),
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

    /**
     * Lists what goes wrong.
     *
     * @param profile The profile.
     * @return The faults.
     */
    private List<TraceFault> faults(TraceProfile profile) {
        List<BackendServer> engines = engines();
        return switch (profile) {
            case SLOW_ENGINE ->
                List.of(new TraceFault(
                        EVENT_FROM_MILLIS,
                        DURATION_MILLIS,
                        TraceFault.Kind.ENGINE_SLOW,
                        engines.get(0).name(),
                        3));
            case LATE_LOADS ->
                List.of(new TraceFault(0, Long.MAX_VALUE, TraceFault.Kind.REPORTS_LATE, "", 2 * MILLIS_PER_SECOND));
            case DATA_CENTRE_EVICTION ->
                List.of(new TraceFault(
                        EVENT_FROM_MILLIS,
                        EVENT_UNTIL_MILLIS,
                        TraceFault.Kind.DATA_CENTRE_EVICTED,
                        configuration.dataCentres().get(1).name(),
                        1));
            case KEY_CHURN -> keyChurn();
            case RETRY_STORM ->
                engines.subList(0, 3).stream()
                        .map(engine -> new TraceFault(
                                EVENT_FROM_MILLIS,
                                EVENT_UNTIL_MILLIS,
                                TraceFault.Kind.ENGINE_FAILING,
                                engine.name(),
                                0.5))
                        .toList();
            case LOG_OUTAGE -> List.of(new TraceFault(0, Long.MAX_VALUE, TraceFault.Kind.LOG_OUTAGE, "", 1));
            case GATEWAY_KILLED ->
                List.of(new TraceFault(EVENT_FROM_MILLIS, Long.MAX_VALUE, TraceFault.Kind.GATEWAY_KILLED, "1", 1));
            default -> List.of();
        };
    }

    /**
     * Withdraws the keys of one customer after the other for two seconds.
     *
     * @return The faults.
     */
    private List<TraceFault> keyChurn() {
        List<TraceFault> faults = new ArrayList<>();
        List<Customer> customers = configuration.customers();
        long step = DURATION_MILLIS / (customers.size() + 1);
        for (int index = 0; index < customers.size(); index++) {
            long from = step * (index + 1);
            faults.add(new TraceFault(
                    from,
                    from + 2 * (long) MILLIS_PER_SECOND,
                    TraceFault.Kind.KEY_WITHDRAWN,
                    customers.get(index).name(),
                    1));
        }
        return faults;
    }

    /**
     * Returns the engines.
     *
     * @return The engines in the order of the configuration.
     */
    private List<BackendServer> engines() {
        return configuration.backendServers().stream()
                .filter(server -> server.kind() == BackendKind.MODEL)
                .toList();
    }

    /**
     * Returns the customers of a class.
     *
     * @param className The name of the class.
     * @return The customers in the order of the configuration.
     */
    private List<Customer> customersOf(String className) {
        return configuration.customers().stream()
                .filter(customer -> customer.classes().contains(className))
                .toList();
    }

    /**
     * Draws a customer by weight.
     *
     * @param customers The customers.
     * @param random The source of randomness.
     * @return The customer.
     */
    private static Customer byWeight(List<Customer> customers, Random random) {
        int left = random.nextInt(customers.stream().mapToInt(Customer::weight).sum());
        for (Customer customer : customers) {
            left -= customer.weight();
            if (left < 0) {
                return customer;
            }
        }
        throw new IllegalStateException("the weights add up to the total");
    }

    /**
     * Draws from the exponential distribution.
     *
     * @param random The source of randomness.
     * @return A number with mean 1.
     */
    private static double exponential(Random random) {
        return -Math.log(1 - random.nextDouble());
    }

    /**
     * The shape of the requests of a class.
     *
     * @param loadShare The share of the load of all chat classes.
     * @param meanOutput The mean output in tokens.
     * @param meanPrompt The mean prompt in tokens.
     */
    private record ClassShape(double loadShare, double meanOutput, int meanPrompt) {}

    /**
     * A part of a trace with one load.
     *
     * @param load The load relative to the capacity.
     * @param fromMillis The first arrival at the earliest.
     * @param untilMillis The end of arrivals.
     */
    private record Phase(double load, long fromMillis, long untilMillis) {}
}
