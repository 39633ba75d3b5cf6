package org.cranberrygauge.operator.questionnaire;

import java.time.DayOfWeek;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.ControlTimes;

/**
 * The answers of a team, from which its configuration is generated.
 *
 * @param engines Groups of engines.
 * @param services Services other than model engines.
 * @param fleet The pools that may be ordered from the platform.
 * @param cleaning The weekly cleaning windows.
 * @param times The times of the control functions, or null for the defaults.
 */
public record Questionnaire(
        String deployment,
        String region,
        List<String> dataCentres,
        List<String> models,
        List<ClassAnswer> classes,
        List<CustomerAnswer> customers,
        List<EngineAnswer> engines,
        List<ServiceAnswer> services,
        List<PoolAnswer> fleet,
        List<CleaningAnswer> cleaning,
        ControlTimes times) {

    /** Replaces omitted lists by empty ones, and omitted times by the defaults. */
    public Questionnaire {
        dataCentres = orEmpty(dataCentres);
        models = orEmpty(models);
        classes = orEmpty(classes);
        customers = orEmpty(customers);
        engines = orEmpty(engines);
        services = orEmpty(services);
        fleet = orEmpty(fleet);
        cleaning = orEmpty(cleaning);
        times = times == null ? ControlTimes.standard() : times;
    }

    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * A service class.
     *
     * @param tier The tier; 0 is the highest.
     * @param guaranteedShare The share of request starts that is reserved for the class, from 0 to 1.
     * @param firstTokenMillis The target for the time to the first token in milliseconds.
     * @param betweenTokensMillis The target for the time between tokens in milliseconds.
     * @param longestWaitMillis The maximum time in the queue in milliseconds.
     * @param queueLimit The number of requests that may be queued on one gateway.
     */
    public record ClassAnswer(
            String name,
            int tier,
            double guaranteedShare,
            long firstTokenMillis,
            long betweenTokensMillis,
            long longestWaitMillis,
            int queueLimit) {}

    /**
     * A customer, whose keys are generated.
     *
     * @param weight The weight in weighted fair sharing within a class.
     */
    public record CustomerAnswer(String name, int weight, Set<String> classes) {}

    /**
     * A group of engines at one IP address.
     *
     * @param name The prefix of the names of the engines.
     * @param host The IP address.
     * @param ports The ports, one for each engine.
     * @param models The names of the models that the engines serve.
     * @param slots The number of requests that each engine runs concurrently.
     * @param checksFencing Whether the engines reject orders with an old fencing number.
     */
    public record EngineAnswer(
            String name,
            String dataCentre,
            String host,
            List<Integer> ports,
            Set<String> models,
            int slots,
            boolean checksFencing) {}

    /** A service other than a model engine. */
    public record ServiceAnswer(String name, List<WorkerAnswer> workers, List<RouteAnswer> routes) {}

    /**
     * A backend server of a service.
     *
     * @param host The IP address.
     * @param slots The number of calls that it runs concurrently.
     */
    public record WorkerAnswer(String name, String dataCentre, String host, int port, int slots) {}

    /**
     * A route to a service.
     *
     * @param path The path prefix below /services.
     * @param mayRepeat Whether calls are idempotent.
     * @param open Whether the route is open to callers without a key.
     * @param keyRequired Whether an idempotency key is required.
     * @param statusPath The path at which the outcome of a call can be looked up, or null.
     */
    public record RouteAnswer(
            String path,
            String method,
            String className,
            boolean mayRepeat,
            boolean open,
            boolean keyRequired,
            String statusPath) {}

    /**
     * A pool that may be ordered from the platform.
     *
     * @param minimum The number of backend servers that is always kept.
     * @param maximum The number of backend servers that is never exceeded.
     * @param costPerHour The cost of one backend server per hour.
     */
    public record PoolAnswer(
            String dataCentre, String model, Supply supply, int minimum, int maximum, double costPerHour) {}

    /**
     * A weekly cleaning window.
     *
     * @param day The day of the week in UTC.
     * @param start The time of day in UTC as HH:MM.
     * @param durationMinutes The length in minutes.
     */
    public record CleaningAnswer(String dataCentre, DayOfWeek day, String start, int durationMinutes) {}
}
