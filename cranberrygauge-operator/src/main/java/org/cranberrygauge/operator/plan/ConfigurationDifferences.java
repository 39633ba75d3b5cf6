package org.cranberrygauge.operator.plan;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.RecordComponent;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeSet;
import java.util.function.Function;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.DataCentre;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.operator.plan.Difference.Action;

/**
 * Compares two configurations item by item.
 *
 * <p>Invariants: digests of keys are never shown; a key with another digest shows as replaced. Used by one thread.
 */
public final class ConfigurationDifferences {

    /** The differences found so far. */
    private final List<Difference> differences = new ArrayList<>();

    /** Creates an empty comparison. */
    private ConfigurationDifferences() {}

    /**
     * Compares two configurations.
     *
     * @param before The configuration in force.
     * @param after The configuration as it would be.
     * @return The differences in the order of the sections.
     */
    public static List<Difference> between(Configuration before, Configuration after) {
        ConfigurationDifferences all = new ConfigurationDifferences();
        all.value("deployment", before.deployment(), after.deployment());
        all.section("data centre", before.dataCentres(), after.dataCentres(), DataCentre::name);
        all.section("class", before.classes(), after.classes(), ServiceClass::name);
        all.section("customer", before.customers(), after.customers(), Customer::name);
        all.section("model", before.models(), after.models(), Function.identity());
        all.section("route", before.routes(), after.routes(), route -> route.method() + " " + route.pathPrefix());
        all.section("backend", before.backendServers(), after.backendServers(), BackendServer::name);
        all.section("pool", before.fleet(), after.fleet(), FleetPool::name);
        all.section("schedule", before.cleaningWindows(), after.cleaningWindows(), CleaningWindow::dataCentre);
        if (!before.times().equals(after.times())) {
            all.differences.add(new Difference(Action.CHANGE, "times", "all", details(before.times(), after.times())));
        }
        return List.copyOf(all.differences);
    }

    /**
     * Compares one value.
     *
     * @param section The section.
     * @param before The value before.
     * @param after The value after.
     */
    private void value(String section, String before, String after) {
        if (!before.equals(after)) {
            differences.add(new Difference(Action.CHANGE, section, after, "\"" + before + "\" -> \"" + after + "\""));
        }
    }

    /**
     * Compares one section.
     *
     * @param section The section.
     * @param before The items before.
     * @param after The items after.
     * @param nameOf Returns the name of an item.
     * @param <T> The type of the items.
     */
    private <T> void section(String section, Collection<T> before, Collection<T> after, Function<T, String> nameOf) {
        Map<String, T> old = byName(before, nameOf);
        Map<String, T> next = byName(after, nameOf);
        next.forEach((name, item) -> {
            T was = old.get(name);
            if (was == null) {
                differences.add(new Difference(Action.ADD, section, name, ""));
            } else if (!was.equals(item)) {
                differences.add(new Difference(Action.CHANGE, section, name, details(was, item)));
            }
        });
        old.keySet().stream()
                .filter(name -> !next.containsKey(name))
                .forEach(name -> differences.add(new Difference(Action.REMOVE, section, name, "")));
    }

    /**
     * Indexes items by name.
     *
     * @param items The items.
     * @param nameOf Returns the name of an item.
     * @param <T> The type of the items.
     * @return The items by name in their order.
     */
    private static <T> Map<String, T> byName(Collection<T> items, Function<T, String> nameOf) {
        Map<String, T> named = new LinkedHashMap<>();
        items.forEach(item -> named.put(nameOf.apply(item), item));
        return named;
    }

    /**
     * Compares two records of one type.
     *
     * @param before The record before.
     * @param after The record after.
     * @return What changes.
     */
    private static String details(Object before, Object after) {
        List<String> parts = new ArrayList<>();
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object was = read(component, before);
            Object now = read(component, after);
            if (!Objects.equals(was, now) && shown(was).equals(shown(now))) {
                parts.add(component.getName() + " " + shown(now) + " replaced");
            } else if (!Objects.equals(was, now)) {
                parts.add(component.getName() + " " + shown(was) + " -> " + shown(now));
            }
        }
        return String.join(", ", parts);
    }

    /**
     * Reads a component.
     *
     * @param component The component.
     * @param record The record.
     * @return The value.
     */
    private static Object read(RecordComponent component, Object record) {
        try {
            return component.getAccessor().invoke(record);
        } catch (IllegalAccessException | InvocationTargetException exception) {
            throw new IllegalStateException("accessors of public records can be called", exception);
        }
    }

    /**
     * Writes a value without secrets.
     *
     * @param value The value.
     * @return The text.
     */
    private static String shown(Object value) {
        if (value instanceof Collection<?> items) {
            TreeSet<String> sorted = new TreeSet<>();
            items.forEach(item -> sorted.add(shown(item)));
            return sorted.toString();
        }
        if (value instanceof CustomerKey key) {
            return key.name();
        }
        return String.valueOf(value);
    }
}
