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
 * <p>Invariants: digests of keys are never shown; a key with a different digest is shown as replaced. Used by one
 * thread.
 */
public final class ConfigurationDifferences {

    private final List<Difference> differences = new ArrayList<>();

    private ConfigurationDifferences() {}

    /**
     * Compares two configurations.
     *
     * @param before The configuration in force.
     * @param after The configuration that would replace it.
     * @return The differences in the order of the sections.
     */
    public static List<Difference> between(Configuration before, Configuration after) {
        ConfigurationDifferences all = new ConfigurationDifferences();
        all.compareValue("deployment", before.deployment(), after.deployment());
        all.compareSection("data centre", before.dataCentres(), after.dataCentres(), DataCentre::name);
        all.compareSection("class", before.classes(), after.classes(), ServiceClass::name);
        all.compareSection("customer", before.customers(), after.customers(), Customer::name);
        all.compareSection("model", before.models(), after.models(), Function.identity());
        all.compareSection(
                "route", before.routes(), after.routes(), route -> route.method() + " " + route.pathPrefix());
        all.compareSection("backend", before.backendServers(), after.backendServers(), BackendServer::name);
        all.compareSection("pool", before.fleet(), after.fleet(), FleetPool::name);
        all.compareSection("schedule", before.cleaningWindows(), after.cleaningWindows(), CleaningWindow::dataCentre);
        if (!before.times().equals(after.times())) {
            all.differences.add(new Difference(Action.CHANGE, "times", "all", details(before.times(), after.times())));
        }
        return List.copyOf(all.differences);
    }

    private void compareValue(String section, String before, String after) {
        if (!before.equals(after)) {
            differences.add(new Difference(Action.CHANGE, section, after, "\"" + before + "\" -> \"" + after + "\""));
        }
    }

    private <T> void compareSection(
            String section, Collection<T> before, Collection<T> after, Function<T, String> nameOf) {
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

    /** Indexes items by name and keeps their order. */
    private static <T> Map<String, T> byName(Collection<T> items, Function<T, String> nameOf) {
        Map<String, T> named = new LinkedHashMap<>();
        items.forEach(item -> named.put(nameOf.apply(item), item));
        return named;
    }

    /** Lists the components in which two records of the same type differ. */
    private static String details(Object before, Object after) {
        List<String> parts = new ArrayList<>();
        for (RecordComponent component : before.getClass().getRecordComponents()) {
            Object was = read(component, before);
            Object now = read(component, after);
            if (!Objects.equals(was, now) && format(was).equals(format(now))) {
                parts.add(component.getName() + " " + format(now) + " replaced");
            } else if (!Objects.equals(was, now)) {
                parts.add(component.getName() + " " + format(was) + " -> " + format(now));
            }
        }
        return String.join(", ", parts);
    }

    private static Object read(RecordComponent component, Object record) {
        try {
            return component.getAccessor().invoke(record);
        } catch (IllegalAccessException | InvocationTargetException exception) {
            throw new IllegalStateException("accessor of a public record can't be called", exception);
        }
    }

    /** Formats a value without secrets; collections are sorted, so that their order makes no difference. */
    private static String format(Object value) {
        if (value instanceof Collection<?> items) {
            TreeSet<String> sorted = new TreeSet<>();
            items.forEach(item -> sorted.add(format(item)));
            return sorted.toString();
        }
        if (value instanceof CustomerKey key) {
            return key.name();
        }
        return String.valueOf(value);
    }
}
