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
 * Validates a configuration as a whole.
 *
 * <p>Stateless and thread-safe.
 */
public final class ConfigurationValidator {

    /** The number of tiers. */
    private static final int TIERS = 8;

    private static final int MINUTES_PER_DAY = 24 * 60;

    private final List<ConfigurationProblem> problems = new ArrayList<>();

    private final Configuration configuration;

    private ConfigurationValidator(Configuration configuration) {
        this.configuration = configuration;
    }

    /**
     * Returns the rules that a configuration violates.
     *
     * @return The violations; empty if the configuration is valid.
     */
    public static List<ConfigurationProblem> problems(Configuration configuration) {
        ConfigurationValidator validator = new ConfigurationValidator(configuration);
        validator.checkNames();
        validator.checkClasses();
        validator.checkCustomers();
        validator.checkRoutes();
        validator.checkBackendServers();
        validator.checkFleet();
        validator.checkCleaning();
        validator.checkTimes();
        return List.copyOf(validator.problems);
    }

    private void checkNames() {
        if (configuration.deployment().isBlank()) {
            report("deployment", "a name is required");
        }
        requireUnique("dataCentres", configuration.dataCentres(), DataCentre::name);
        requireUnique("classes", configuration.classes(), ServiceClass::name);
        requireUnique("customers", configuration.customers(), Customer::name);
        requireUnique("models", configuration.models(), Function.identity());
        requireUnique("backendServers", configuration.backendServers(), BackendServer::name);
        requireUnique("fleet", configuration.fleet(), FleetPool::name);
        requireUnique("routes", configuration.routes(), route -> route.method() + " " + route.pathPrefix());
    }

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
            requireUnique(path + ".keys", customer.keys(), CustomerKey::name);
            for (CustomerKey key : customer.keys()) {
                require(
                        digests.add(key.digest().hexadecimal()),
                        path + ".keys",
                        "key " + key.name() + " duplicates another key");
            }
        }
    }

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

    /** Checks timeouts and intervals. */
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
     * @param path The path of the field.
     */
    private void require(boolean condition, String path, String message) {
        if (!condition) {
            report(path, message);
        }
    }

    private void report(String path, String message) {
        problems.add(new ConfigurationProblem(path, message));
    }

    /**
     * Reports names that are blank or not unique.
     *
     * @param name Returns the name of an item.
     */
    private <T> void requireUnique(String path, List<T> items, Function<T, String> name) {
        Set<String> seen = new HashSet<>();
        for (int index = 0; index < items.size(); index++) {
            String text = name.apply(items.get(index));
            require(!text.isBlank(), path + "[" + index + "]", "a name is required");
            require(seen.add(text), path + "[" + index + "]", "duplicate name " + text);
        }
    }

    private static <T> Set<String> names(List<T> items, Function<T, String> name) {
        return items.stream().map(name).collect(Collectors.toUnmodifiableSet());
    }
}
