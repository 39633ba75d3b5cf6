package org.cranberrygauge.model.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.model.service.ServiceRoute;

/**
 * A complete configuration.
 *
 * <p>Immutable and thread-safe.
 *
 * @param models The models that requests may name.
 * @param routes The routes to plain services.
 * @param backendServers The backend servers that are not ordered from the platform.
 * @param fleet The pools of backend servers that may be ordered from the platform.
 * @param cleaningWindows The weekly cleaning windows.
 * @param times The timeouts and intervals of the control functions.
 */
public record Configuration(
        String deployment,
        List<DataCentre> dataCentres,
        List<ServiceClass> classes,
        List<Customer> customers,
        List<String> models,
        List<ServiceRoute> routes,
        List<BackendServer> backendServers,
        List<FleetPool> fleet,
        List<CleaningWindow> cleaningWindows,
        ControlTimes times) {

    /** The configuration before any change was accepted. */
    private static final Configuration EMPTY = new Configuration(
            "",
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            List.of(),
            ControlTimes.standard());

    public Configuration {
        dataCentres = List.copyOf(dataCentres);
        classes = List.copyOf(classes);
        customers = List.copyOf(customers);
        models = List.copyOf(models);
        routes = List.copyOf(routes);
        backendServers = List.copyOf(backendServers);
        fleet = List.copyOf(fleet);
        cleaningWindows = List.copyOf(cleaningWindows);
    }

    /** Returns the configuration before any change was accepted. */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Returns the service class of a name.
     *
     * @return The class, or empty if there is none of that name.
     */
    public Optional<ServiceClass> serviceClass(String name) {
        return classes.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst();
    }

    /**
     * Returns the customer of a name.
     *
     * @return The customer, or empty if there is none of that name.
     */
    public Optional<Customer> customer(String name) {
        return customers.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst();
    }

    /** Returns a copy with a customer added, or replaced if there is one of the same name. */
    public Configuration withCustomer(Customer customer) {
        List<Customer> replacement = new ArrayList<>(customers);
        replacement.removeIf(candidate -> candidate.name().equals(customer.name()));
        replacement.add(customer);
        return withCustomers(replacement);
    }

    /** Returns a copy with other data centres. */
    public Configuration withDataCentres(List<DataCentre> replacement) {
        return new Configuration(
                deployment,
                replacement,
                classes,
                customers,
                models,
                routes,
                backendServers,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other service classes. */
    public Configuration withClasses(List<ServiceClass> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                replacement,
                customers,
                models,
                routes,
                backendServers,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other customers. */
    public Configuration withCustomers(List<Customer> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                replacement,
                models,
                routes,
                backendServers,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other models. */
    public Configuration withModels(List<String> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                customers,
                replacement,
                routes,
                backendServers,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other routes to plain services. */
    public Configuration withRoutes(List<ServiceRoute> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                customers,
                models,
                replacement,
                backendServers,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other backend servers that are not ordered from the platform. */
    public Configuration withBackendServers(List<BackendServer> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                customers,
                models,
                routes,
                replacement,
                fleet,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other pools of backend servers that may be ordered. */
    public Configuration withFleet(List<FleetPool> replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                customers,
                models,
                routes,
                backendServers,
                replacement,
                cleaningWindows,
                times);
    }

    /** Returns a copy with other weekly cleaning windows. */
    public Configuration withCleaningWindows(List<CleaningWindow> replacement) {
        return new Configuration(
                deployment, dataCentres, classes, customers, models, routes, backendServers, fleet, replacement, times);
    }

    /** Returns a copy with other timeouts and intervals. */
    public Configuration withTimes(ControlTimes replacement) {
        return new Configuration(
                deployment,
                dataCentres,
                classes,
                customers,
                models,
                routes,
                backendServers,
                fleet,
                cleaningWindows,
                replacement);
    }
}
