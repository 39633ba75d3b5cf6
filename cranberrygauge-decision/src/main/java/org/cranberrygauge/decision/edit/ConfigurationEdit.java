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
 * A change of one part of a configuration.
 *
 * <p>Invariants: an edit either gives a whole new configuration or fails and changes nothing; adding what is there and
 * changing or removing what is not there are errors. Immutable and safe for use by several threads.
 */
public sealed interface ConfigurationEdit {

    /**
     * Applies the edit.
     *
     * @param before The configuration before.
     * @return The configuration after.
     * @throws CranberrygaugeException If the edit does not fit the configuration.
     */
    Configuration apply(Configuration before) throws CranberrygaugeException;

    /** Whether an edit adds a part or changes one that is there. */
    enum Mode {
        /** The part must not be there yet. */
        ADD,
        /** The part must be there. */
        CHANGE
    }

    /**
     * Adds or changes a customer.
     *
     * @param mode Whether it is there already.
     * @param customer The customer.
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

    /**
     * Removes a customer with all its keys.
     *
     * @param name The name.
     */
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
     * @param mode Whether a key of the name is there already.
     * @param customer The name of the customer.
     * @param key The key.
     */
    record PutKey(Mode mode, String customer, CustomerKey key) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            Customer owner = existing(before, customer);
            List<CustomerKey> keys = put(
                    "key", key.name(), mode, owner.keys(), other -> other.name().equals(key.name()), key);
            return new PutCustomer(Mode.CHANGE, owner.withKeys(keys)).apply(before);
        }
    }

    /**
     * Withdraws a key of a customer.
     *
     * @param customer The name of the customer.
     * @param name The name of the key.
     */
    record RemoveKey(String customer, String name) implements ConfigurationEdit {

        @Override
        public Configuration apply(Configuration before) throws CranberrygaugeException {
            Customer owner = existing(before, customer);
            List<CustomerKey> keys =
                    remove("key", name, owner.keys(), other -> other.name().equals(name));
            return new PutCustomer(Mode.CHANGE, owner.withKeys(keys)).apply(before);
        }
    }

    /**
     * Adds or changes a service class.
     *
     * @param mode Whether it is there already.
     * @param serviceClass The class.
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

    /**
     * Removes a service class.
     *
     * @param name The name.
     */
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
     * @param mode Whether the data centre has a window already.
     * @param window The window.
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

    /**
     * Removes the weekly cleaning window of a data centre.
     *
     * @param dataCentre The name of the data centre.
     */
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
     * @param mode Whether it is there already.
     * @param server The backend server.
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

    /**
     * Removes a backend server.
     *
     * @param name The name.
     */
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
     * Finds a customer that must be there.
     *
     * @param configuration The configuration.
     * @param name The name.
     * @return The customer.
     * @throws CranberrygaugeException If it is not there.
     */
    private static Customer existing(Configuration configuration, String name) throws CranberrygaugeException {
        return configuration.customer(name).orElseThrow(() -> refuse("customer", name, "is not in force"));
    }

    /**
     * Adds an item at the end, or replaces it at its place.
     *
     * @param kind The kind of the item.
     * @param name The name of the item.
     * @param mode Whether it must be there.
     * @param items The items.
     * @param same Recognises the item.
     * @param item The item.
     * @param <T> The type.
     * @return The items after.
     * @throws CranberrygaugeException If the mode does not fit.
     */
    private static <T> List<T> put(String kind, String name, Mode mode, List<T> items, Predicate<T> same, T item)
            throws CranberrygaugeException {
        boolean present = items.stream().anyMatch(same);
        if (present && mode == Mode.ADD) {
            throw refuse(kind, name, "is there already; use change");
        }
        if (!present && mode == Mode.CHANGE) {
            throw refuse(kind, name, "is not in force; use add");
        }
        List<T> after = new ArrayList<>(items);
        if (present) {
            after.replaceAll(other -> same.test(other) ? item : other);
        } else {
            after.add(item);
        }
        return after;
    }

    /**
     * Removes an item.
     *
     * @param kind The kind of the item.
     * @param name The name of the item.
     * @param items The items.
     * @param same Recognises the item.
     * @param <T> The type.
     * @return The items after.
     * @throws CranberrygaugeException If it is not there.
     */
    private static <T> List<T> remove(String kind, String name, List<T> items, Predicate<T> same)
            throws CranberrygaugeException {
        List<T> after = new ArrayList<>(items);
        if (!after.removeIf(same)) {
            throw refuse(kind, name, "is not in force");
        }
        return after;
    }

    /**
     * Builds the error of an edit that does not fit.
     *
     * @param kind The kind of the item.
     * @param name The name of the item.
     * @param reason The reason.
     * @return The error.
     */
    private static CranberrygaugeException refuse(String kind, String name, String reason) {
        return new CranberrygaugeException(
                ErrorCode.INVALID_CONFIGURATION, kind + " \"" + name + "\" " + reason + "; nothing was changed");
    }
}
