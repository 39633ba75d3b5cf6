package org.cranberrygauge.operator.questionnaire;

import java.time.DayOfWeek;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.ControlTimes;

/**
 * The answers of a team.
 *
 * @param deployment The name of the deployment.
 * @param region The name of the region.
 * @param dataCentres The names of the data centres.
 * @param models The names of the models.
 * @param classes The service classes.
 * @param customers The customers.
 * @param engines The groups of engines.
 * @param services The plain services.
 * @param fleet The pools that may be ordered from the platform.
 * @param cleaning The weekly cleaning windows.
 * @param times The times of the control functions, or null for the standard ones.
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

    /** Replaces lists that were left out. */
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

    /**
     * Replaces a list that was left out.
     *
     * @param list The list, or null.
     * @param <T> The type of the items.
     * @return The list.
     */
    private static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * A service class.
     *
     * @param name The name.
     * @param tier The tier; 0 is the highest.
     * @param guaranteedShare The share of starts that the class always gets, from 0 to 1.
     * @param firstTokenMillis The target for the time to the first token in milliseconds.
     * @param betweenTokensMillis The target for the time between tokens in milliseconds.
     * @param longestWaitMillis The longest time in the queue in milliseconds.
     * @param queueLimit The number of requests that may wait on one gateway.
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
     * A customer.
     *
     * @param name The name.
     * @param weight The weight of the fair share.
     * @param classes The names of the classes it may use.
     */
    public record CustomerAnswer(String name, int weight, Set<String> classes) {}

    /**
     * A group of engines at one address range.
     *
     * @param name The start of the names.
     * @param dataCentre The data centre.
     * @param host The IP number.
     * @param ports The ports, one for each engine.
     * @param models The models that they run.
     * @param slots The number of requests that each runs at once.
     * @param checksFencing Whether they refuse orders with an old fencing number.
     */
    public record EngineAnswer(
            String name,
            String dataCentre,
            String host,
            List<Integer> ports,
            Set<String> models,
            int slots,
            boolean checksFencing) {}

    /**
     * A plain service.
     *
     * @param name The name.
     * @param workers The workers.
     * @param routes The routes.
     */
    public record ServiceAnswer(String name, List<WorkerAnswer> workers, List<RouteAnswer> routes) {}

    /**
     * A worker of a plain service.
     *
     * @param name The name.
     * @param dataCentre The data centre.
     * @param host The IP number.
     * @param port The port.
     * @param slots The number of calls that it runs at once.
     */
    public record WorkerAnswer(String name, String dataCentre, String host, int port, int slots) {}

    /**
     * A route to a plain service.
     *
     * @param path The path prefix below /services.
     * @param method The HTTP method.
     * @param className The name of the class.
     * @param mayRepeat Whether a call may run more than once without harm.
     * @param open Whether the route is open to callers without a key.
     * @param keyRequired Whether an idempotency key is demanded.
     * @param statusPath The path of the status lookup, or null.
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
     * A pool that may be ordered.
     *
     * @param dataCentre The data centre.
     * @param model The model.
     * @param supply How the servers are supplied.
     * @param minimum The number that is always kept.
     * @param maximum The number that is never exceeded.
     * @param costPerHour The cost of one server for an hour.
     */
    public record PoolAnswer(
            String dataCentre, String model, Supply supply, int minimum, int maximum, double costPerHour) {}

    /**
     * A weekly cleaning window.
     *
     * @param dataCentre The data centre.
     * @param day The day of the week in UTC.
     * @param start The time of day in UTC as HH:MM.
     * @param durationMinutes The length in minutes.
     */
    public record CleaningAnswer(String dataCentre, DayOfWeek day, String start, int durationMinutes) {}
}
