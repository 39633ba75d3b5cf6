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
 * A whole configuration.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param deployment The name of the deployment.
 * @param dataCentres The data centres.
 * @param classes The service classes.
 * @param customers The customers.
 * @param models The models that callers may name.
 * @param routes The routes to plain services.
 * @param backendServers The backend servers that are not ordered from the platform.
 * @param fleet The pools of backend servers that may be ordered.
 * @param cleaningWindows The weekly cleaning windows.
 * @param times The times of the control functions.
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

    /** The configuration before any was accepted. */
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

    /** Copies the lists. */
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

    /**
     * Returns the configuration before any was accepted.
     *
     * @return The empty configuration.
     */
    public static Configuration empty() {
        return EMPTY;
    }

    /**
     * Finds a class by name.
     *
     * @param name The name.
     * @return The class, or nothing.
     */
    public Optional<ServiceClass> serviceClass(String name) {
        return classes.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst();
    }

    /**
     * Finds a customer by name.
     *
     * @param name The name.
     * @return The customer, or nothing.
     */
    public Optional<Customer> customer(String name) {
        return customers.stream()
                .filter(candidate -> candidate.name().equals(name))
                .findFirst();
    }

    /**
     * Adds a customer or replaces the one of the same name.
     *
     * @param customer The customer.
     * @return The refined configuration.
     */
    public Configuration withCustomer(Customer customer) {
        List<Customer> replacement = new ArrayList<>(customers);
        replacement.removeIf(candidate -> candidate.name().equals(customer.name()));
        replacement.add(customer);
        return withCustomers(replacement);
    }

    /**
     * Replaces one part: the data centres.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the service classes.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the customers.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the models that callers may name.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the routes to plain services.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the backend servers that are not ordered from the platform.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the pools of backend servers that may be ordered.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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

    /**
     * Replaces one part: the weekly cleaning windows.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
    public Configuration withCleaningWindows(List<CleaningWindow> replacement) {
        return new Configuration(
                deployment, dataCentres, classes, customers, models, routes, backendServers, fleet, replacement, times);
    }

    /**
     * Replaces one part: the times of the control functions.
     *
     * @param replacement The new part.
     * @return The refined configuration.
     */
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
