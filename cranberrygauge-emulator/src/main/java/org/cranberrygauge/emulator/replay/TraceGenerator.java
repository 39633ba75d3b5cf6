package org.cranberrygauge.emulator.replay;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * Generates the requests of a trace without a profile.
 *
 * <p>The same configuration and random numbers produce the same trace. Used by one thread.
 */
final class TraceGenerator {

    private static final double MILLIS_PER_SECOND = 1_000;

    private static final int MIN_OUTPUT_TOKENS = 8;

    /** The mean number of tokens on top of the shortest answer. */
    private static final double MEAN_ADDITIONAL_OUTPUT_TOKENS = 24;

    private static final int MAX_OUTPUT_TOKENS = 256;

    private static final int MAX_PROMPT_TOKENS = 400;

    private static final int PREFIX_GROUPS = 8;

    private final Configuration configuration;

    private final RandomGenerator random;

    TraceGenerator(Configuration configuration, RandomGenerator random) {
        this.configuration = configuration;
        this.random = random;
    }

    /**
     * Generates requests that arrive as a Poisson process, in the order of their arrival.
     *
     * @param seconds The length of the trace in seconds.
     * @param requestsPerSecond The mean number of requests per second.
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

    private TraceRequest request(long arrivalMillis, int number) {
        Customer customer = drawCustomer();
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
        double additional = -Math.log(1 - random.nextDouble()) * MEAN_ADDITIONAL_OUTPUT_TOKENS;
        return new TraceRequest(
                arrivalMillis,
                TraceRequest.Kind.CHAT,
                customer.name(),
                className,
                model,
                2 + random.nextInt(MAX_PROMPT_TOKENS),
                (int) Math.min(MAX_OUTPUT_TOKENS, MIN_OUTPUT_TOKENS + additional),
                "group-" + random.nextInt(PREFIX_GROUPS),
                "",
                "",
                callId);
    }

    private Customer drawCustomer() {
        int total =
                configuration.customers().stream().mapToInt(Customer::weight).sum();
        int left = random.nextInt(total);
        for (Customer customer : configuration.customers()) {
            left -= customer.weight();
            if (left < 0) {
                return customer;
            }
        }
        throw new IllegalStateException("random number exceeds the sum of weights");
    }

    /** Draws one of the routes of a class, without open ones; empty if the class serves completions. */
    private Optional<ServiceRoute> route(String className) {
        List<ServiceRoute> routes = configuration.routes().stream()
                .filter(route -> route.className().equals(className) && !route.open())
                .toList();
        return routes.isEmpty() ? Optional.empty() : Optional.of(routes.get(random.nextInt(routes.size())));
    }
}
