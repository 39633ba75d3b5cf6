package org.cranberrygauge.emulator.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * Generates the requests of a trace.
 *
 * <p>Used by one thread; the same randomness gives the same trace.
 */
final class TraceGenerator {

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The shortest answer in tokens. */
    private static final int SHORTEST_OUTPUT = 8;

    /** The mean of what comes on top of the shortest answer in tokens. */
    private static final double MEAN_MORE_OUTPUT = 24;

    /** The longest answer in tokens. */
    private static final int LONGEST_OUTPUT = 256;

    /** The longest prompt in tokens. */
    private static final int LONGEST_PROMPT = 400;

    /** The number of groups that share a prefix. */
    private static final int PREFIX_GROUPS = 8;

    /** The configuration. */
    private final Configuration configuration;

    /** The source of randomness. */
    private final RandomGenerator random;

    /**
     * Creates a generator.
     *
     * @param configuration The configuration.
     * @param random The source of randomness.
     */
    TraceGenerator(Configuration configuration, RandomGenerator random) {
        this.configuration = configuration;
        this.random = random;
    }

    /**
     * Generates a trace.
     *
     * @param seconds The length in seconds.
     * @param requestsPerSecond The mean number of requests in a second.
     * @return The requests in the order of their arrival.
     */
    List<TraceRequest> generate(int seconds, double requestsPerSecond) {
        List<TraceRequest> requests = new ArrayList<>();
        double atMillis = 0;
        while (true) {
            atMillis -= Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / requestsPerSecond;
            if (atMillis >= seconds * MILLIS_PER_SECOND) {
                return requests;
            }
            requests.add(request((long) atMillis, requests.size()));
        }
    }

    /**
     * Generates a request.
     *
     * @param arrivalMillis The time of its arrival.
     * @param number The number of the request.
     * @return The request.
     */
    private TraceRequest request(long arrivalMillis, int number) {
        Customer customer = customer();
        List<String> classes = customer.classes().stream().sorted().toList();
        String className = classes.get(random.nextInt(classes.size()));
        String callId = "call-" + number;
        Optional<ServiceRoute> route = route(className);
        if (route.isPresent()) {
            String path = "/services" + route.get().pathPrefix()
                    + (route.get().method().equals("GET") ? "/" + callId : "");
            return new TraceRequest(
                    arrivalMillis,
                    TraceRequest.Kind.CALL,
                    customer.name(),
                    className,
                    "",
                    0,
                    0,
                    "",
                    route.get().method(),
                    path,
                    callId);
        }
        String model =
                configuration.models().get(random.nextInt(configuration.models().size()));
        double more = -Math.log(1 - random.nextDouble()) * MEAN_MORE_OUTPUT;
        return new TraceRequest(
                arrivalMillis,
                TraceRequest.Kind.CHAT,
                customer.name(),
                className,
                model,
                2 + random.nextInt(LONGEST_PROMPT),
                (int) Math.min(LONGEST_OUTPUT, SHORTEST_OUTPUT + more),
                "group-" + random.nextInt(PREFIX_GROUPS),
                "",
                "",
                callId);
    }

    /**
     * Draws a customer by weight.
     *
     * @return The customer.
     */
    private Customer customer() {
        int total =
                configuration.customers().stream().mapToInt(Customer::weight).sum();
        int left = random.nextInt(total);
        for (Customer customer : configuration.customers()) {
            left -= customer.weight();
            if (left < 0) {
                return customer;
            }
        }
        throw new IllegalStateException("the weights add up to the total");
    }

    /**
     * Draws a route of a class.
     *
     * @param className The name of the class.
     * @return The route, or nothing if the class is one of completions.
     */
    private Optional<ServiceRoute> route(String className) {
        List<ServiceRoute> routes = configuration.routes().stream()
                .filter(route -> route.className().equals(className) && !route.open())
                .toList();
        return routes.isEmpty() ? Optional.empty() : Optional.of(routes.get(random.nextInt(routes.size())));
    }
}
