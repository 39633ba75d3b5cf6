package org.cranberrygauge.decision.configuration;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * Checks a configuration as a whole.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class ConfigurationValidator {

    /** The highest number of tiers. */
    private static final int TIERS = 8;

    /** The number of minutes in a day. */
    private static final int MINUTES_PER_DAY = 24 * 60;

    /** The problems found so far. */
    private final List<ConfigurationProblem> problems = new ArrayList<>();

    /** The configuration that is checked. */
    private final Configuration configuration;

    /**
     * Creates the checks of one configuration.
     *
     * @param configuration The configuration.
     */
    private ConfigurationValidator(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Finds the faults of a configuration.
     *
     * @param configuration The configuration.
     * @return The faults; empty if there are none.
     */
    public static List<ConfigurationProblem> problems(Configuration configuration) {
        ConfigurationValidator checks = new ConfigurationValidator(configuration);
        checks.checkNames();
        checks.checkClasses();
        checks.checkCustomers();
        checks.checkRoutes();
        checks.checkBackendServers();
        checks.checkFleet();
        checks.checkCleaning();
        checks.checkTimes();
        return List.copyOf(checks.problems);
    }

    /** Checks that names are present and unique. */
    private void checkNames() {
        if (configuration.deployment().isBlank()) {
            report("deployment", "a name is required");
        }
        unique("dataCentres", configuration.dataCentres(), DataCentre::name);
        unique("classes", configuration.classes(), ServiceClass::name);
        unique("customers", configuration.customers(), Customer::name);
        unique("models", configuration.models(), Function.identity());
        unique("backendServers", configuration.backendServers(), BackendServer::name);
        unique("fleet", configuration.fleet(), FleetPool::name);
        unique("routes", configuration.routes(), route -> route.method() + " " + route.pathPrefix());
    }

    /** Checks tiers, shares and targets. */
    private void checkClasses() {
        double shares = 0;
        for (int index = 0; index < configuration.classes().size(); index++) {
            ServiceClass serviceClass = configuration.classes().get(index);
            String path = "classes[" + index + "]";
            require(serviceClass.tier() >= 0 && serviceClass.tier() < TIERS, path + ".tier", "must be from 0 to 7");
            require(
                    serviceClass.guaranteedShare() > 0 && serviceClass.guaranteedShare() <= 1,
                    path + ".guaranteedShare",
                    "must be above 0 and at most 1, so that no class starves");
            require(serviceClass.firstTokenTargetMillis() > 0, path + ".firstTokenTargetMillis", "must be above 0");
            require(
                    serviceClass.betweenTokensTargetMillis() > 0,
                    path + ".betweenTokensTargetMillis",
                    "must be above 0");
            require(serviceClass.longestWaitMillis() > 0, path + ".longestWaitMillis", "must be above 0");
            require(serviceClass.queueLimit() > 0, path + ".queueLimit", "must be above 0");
            shares += serviceClass.guaranteedShare();
        }
        require(shares <= 1, "classes", "the guaranteed shares add up to " + shares + ", at most 1 is allowed");
    }

    /** Checks customers, their keys and classes. */
    private void checkCustomers() {
        Set<String> classes = names(configuration.classes(), ServiceClass::name);
        Set<String> digests = new HashSet<>();
        for (int index = 0; index < configuration.customers().size(); index++) {
            Customer customer = configuration.customers().get(index);
            String path = "customers[" + index + "]";
            require(customer.weight() > 0, path + ".weight", "must be above 0");
            for (String className : customer.classes()) {
                require(classes.contains(className), path + ".classes", "unknown class " + className);
            }
            unique(path + ".keys", customer.keys(), CustomerKey::name);
            for (CustomerKey key : customer.keys()) {
                require(
                        digests.add(key.digest().hexadecimal()),
                        path + ".keys",
                        "the key " + key.name() + " is used twice");
            }
        }
    }

    /** Checks routes to plain services. */
    private void checkRoutes() {
        Set<String> classes = names(configuration.classes(), ServiceClass::name);
        for (int index = 0; index < configuration.routes().size(); index++) {
            ServiceRoute route = configuration.routes().get(index);
            String path = "routes[" + index + "]";
            require(route.pathPrefix().startsWith("/"), path + ".pathPrefix", "must start with /");
            require(classes.contains(route.className()), path + ".className", "unknown class " + route.className());
            require(
                    configuration.backendServers().stream().anyMatch(server -> server.canServe(route.service())),
                    path + ".service",
                    "no backend server offers " + route.service());
        }
    }

    /** Checks backend servers. */
    private void checkBackendServers() {
        Set<String> dataCentres = names(configuration.dataCentres(), DataCentre::name);
        for (int index = 0; index < configuration.backendServers().size(); index++) {
            BackendServer server = configuration.backendServers().get(index);
            String path = "backendServers[" + index + "]";
            require(
                    dataCentres.contains(server.dataCentre()),
                    path + ".dataCentre",
                    "unknown data centre " + server.dataCentre());
            require(server.slots() > 0, path + ".slots", "must be above 0");
            require(!server.serves().isEmpty(), path + ".serves", "must name a model or a service");
        }
    }

    /** Checks the pools of ordered backend servers. */
    private void checkFleet() {
        Set<String> dataCentres = names(configuration.dataCentres(), DataCentre::name);
        for (int index = 0; index < configuration.fleet().size(); index++) {
            FleetPool pool = configuration.fleet().get(index);
            String path = "fleet[" + index + "]";
            require(dataCentres.contains(pool.dataCentre()), path + ".dataCentre", "unknown data centre");
            require(configuration.models().contains(pool.model()), path + ".model", "unknown model " + pool.model());
            require(pool.minimum() >= 0, path + ".minimum", "must not be negative");
            require(pool.maximum() >= pool.minimum(), path + ".maximum", "must not be below the minimum");
            require(pool.costPerHour() >= 0, path + ".costPerHour", "must not be negative");
        }
    }

    /** Checks the cleaning windows. */
    private void checkCleaning() {
        Set<String> dataCentres = names(configuration.dataCentres(), DataCentre::name);
        for (int index = 0; index < configuration.cleaningWindows().size(); index++) {
            CleaningWindow window = configuration.cleaningWindows().get(index);
            String path = "cleaningWindows[" + index + "]";
            require(dataCentres.contains(window.dataCentre()), path + ".dataCentre", "unknown data centre");
            require(
                    window.startMinute() >= 0 && window.startMinute() < MINUTES_PER_DAY,
                    path + ".startMinute",
                    "must be from 0 to 1439");
            require(window.durationMinutes() > 0, path + ".durationMinutes", "must be above 0");
        }
    }

    /** Checks the times of the control functions. */
    private void checkTimes() {
        require(configuration.times().leaseMillis() > 0, "times.leaseMillis", "must be above 0");
        require(
                configuration.times().orderTimeoutMillis() > 0
                        && configuration.times().orderTimeoutMillis()
                                < configuration.times().leaseMillis(),
                "times.orderTimeoutMillis",
                "must be above 0 and below times.leaseMillis");
        require(configuration.times().usageWindowMillis() > 0, "times.usageWindowMillis", "must be above 0");
        require(
                configuration.times().reservationRetentionMillis() > 0,
                "times.reservationRetentionMillis",
                "must be above 0");
        require(configuration.times().freshnessMillis() > 0, "times.freshnessMillis", "must be above 0");
    }

    /**
     * Reports a problem unless a condition holds.
     *
     * @param condition The condition.
     * @param path The path of the field.
     * @param message The message.
     */
    private void require(boolean condition, String path, String message) {
        if (!condition) {
            report(path, message);
        }
    }

    /**
     * Reports a problem.
     *
     * @param path The path of the field.
     * @param message The message.
     */
    private void report(String path, String message) {
        problems.add(new ConfigurationProblem(path, message));
    }

    /**
     * Reports names that are blank or stand twice.
     *
     * @param path The path of the list.
     * @param items The items.
     * @param name Reads the name of an item.
     * @param <T> The type of the items.
     */
    private <T> void unique(String path, List<T> items, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String text = name.apply(items.get(index));
            require(!text.isBlank(), path + "[" + index + "]", "a name is required");
            require(seen.add(text), path + "[" + index + "]", "the name " + text + " stands twice");
        }
    }

    /**
     * Collects names.
     *
     * @param items The items.
     * @param name Reads the name of an item.
     * @param <T> The type of the items.
     * @return The names.
     */
    private static <T> Set<String> names(List<T> items, Function<T, String> name) {
        return items.stream().map(name).collect(Collectors.toUnmodifiableSet());
    }
}
