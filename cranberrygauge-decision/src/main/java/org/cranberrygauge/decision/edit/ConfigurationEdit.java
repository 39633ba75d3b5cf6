package org.cranberrygauge.decision.edit;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * A change to one part of a configuration.
 *
 * <p>Invariants: an edit either yields a complete new configuration or fails without any change; adding an existing
 * part fails, and so does changing or removing a missing one. Immutable and thread-safe.
 */
public sealed interface ConfigurationEdit {

    /**
     * Applies the edit.
     *
     * @return The configuration after the edit.
     * @throws CranberrygaugeException If the edit does not fit the configuration.
     */
    Configuration apply(Configuration before) throws CranberrygaugeException;

    /** Whether an edit adds a part or changes an existing one. */
    enum Mode {
        /** The part must not exist yet. */
        ADD,
        /** The part must exist. */
        CHANGE
    }

    /**
     * Adds or changes a customer.
     *
     * @param mode Whether the customer must already exist.
     */
    record PutCustomer(Mode mode, Customer customer) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withCustomers(put(
                    "customer",
                    customer.name(),
                    mode,
                    before.customers(),
                    other -> other.name().equals(customer.name()),
                    customer));
        }
    }

    /** Removes a customer with all its keys. */
    record RemoveCustomer(String name) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withCustomers(remove(
                    "customer", name, before.customers(), other -> other.name().equals(name)));
        }
    }

    /**
     * Adds a key to a customer, or replaces the key of the same name.
     *
     * @param mode Whether a key of the same name must already exist.
     */
    record PutKey(Mode mode, String customer, CustomerKey key) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            Customer owner = existingCustomer(before, customer);
            List<CustomerKey> keys = put(
                    "key", key.name(), mode, owner.keys(), other -> other.name().equals(key.name()), key);
            return new PutCustomer(Mode.CHANGE, owner.withKeys(keys)).apply(before);
        }
    }

    /**
     * Withdraws a key of a customer.
     *
     * @param name The name of the key.
     */
    record RemoveKey(String customer, String name) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            Customer owner = existingCustomer(before, customer);
            List<CustomerKey> keys =
                    remove("key", name, owner.keys(), other -> other.name().equals(name));
            return new PutCustomer(Mode.CHANGE, owner.withKeys(keys)).apply(before);
        }
    }

    /**
     * Adds or changes a service class.
     *
     * @param mode Whether the class must already exist.
     */
    record PutClass(Mode mode, ServiceClass serviceClass) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withClasses(put(
                    "class",
                    serviceClass.name(),
                    mode,
                    before.classes(),
                    other -> other.name().equals(serviceClass.name()),
                    serviceClass));
        }
    }

    /** Removes a service class. */
    record RemoveClass(String name) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withClasses(remove(
                    "class", name, before.classes(), other -> other.name().equals(name)));
        }
    }

    /**
     * Adds or changes the weekly cleaning window of a data centre.
     *
     * @param mode Whether the data centre must already have a window.
     */
    record PutCleaningWindow(Mode mode, CleaningWindow window) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withCleaningWindows(put(
                    "schedule",
                    window.dataCentre(),
                    mode,
                    before.cleaningWindows(),
                    other -> other.dataCentre().equals(window.dataCentre()),
                    window));
        }
    }

    /** Removes the weekly cleaning window of a data centre. */
    record RemoveCleaningWindow(String dataCentre) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withCleaningWindows(remove(
                    "schedule",
                    dataCentre,
                    before.cleaningWindows(),
                    other -> other.dataCentre().equals(dataCentre)));
        }
    }

    /**
     * Adds or changes a backend server.
     *
     * @param mode Whether the backend server must already exist.
     */
    record PutBackendServer(Mode mode, BackendServer server) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withBackendServers(put(
                    "backend",
                    server.name(),
                    mode,
                    before.backendServers(),
                    other -> other.name().equals(server.name()),
                    server));
        }
    }

    /** Removes a backend server from the configuration. */
    record RemoveBackendServer(String name) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            return before.withBackendServers(remove(
                    "backend",
                    name,
                    before.backendServers(),
                    other -> other.name().equals(name)));
        }
    }

    /**
     * Returns a customer that must exist.
     *
     * @throws CranberrygaugeException If there is no such customer.
     */
    private static Customer existingCustomer(Configuration configuration, String name) throws CranberrygaugeException {
        return configuration.customer(name).orElseThrow(() -> mismatch("customer", name, "is not in force"));
    }

    /**
     * Appends an item, or replaces it at its position.
     *
     * @param kind The kind of the item, for the error message.
     * @param name The name of the item, for the error message.
     * @param mode Whether the item must already exist.
     * @param matches Identifies the item.
     * @return The items after the change.
     * @throws CranberrygaugeException If the mode does not fit.
     */
    private static <T> List<T> put(String kind, String name, Mode mode, List<T> items, Predicate<T> matches, T item)
            throws CranberrygaugeException {
        boolean present = items.stream().anyMatch(matches);
        if (present && mode == Mode.ADD) {
            throw mismatch(kind, name, "is there already; use change");
        }
        if (!present && mode == Mode.CHANGE) {
            throw mismatch(kind, name, "is not in force; use add");
        }
        List<T> after = new ArrayList<>(items);
        if (present) {
            after.replaceAll(other -> matches.test(other) ? item : other);
        } else {
            after.add(item);
        }
        return after;
    }

    /**
     * Removes an item.
     *
     * @param kind The kind of the item, for the error message.
     * @param name The name of the item, for the error message.
     * @param matches Identifies the item.
     * @return The items after the removal.
     * @throws CranberrygaugeException If there is no such item.
     */
    private static <T> List<T> remove(String kind, String name, List<T> items, Predicate<T> matches)
            throws CranberrygaugeException {
        List<T> after = new ArrayList<>(items);
        if (!after.removeIf(matches)) {
            throw mismatch(kind, name, "is not in force");
        }
        return after;
    }

    /** Creates the error of an edit that does not fit. */
    private static CranberrygaugeException mismatch(String kind, String name, String reason) {
        return new CranberrygaugeException(
                ErrorCode.INVALID_CONFIGURATION, kind + " \"" + name + "\" " + reason + "; nothing was changed");
    }
}
