package org.cranberrygauge.verification.capacity;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Finds slopes by name.
 *
 * <p>Immutable and safe for use by several threads.
 */
final class SlopeTable {

    /** The slopes by name. */
    private final Map<String, Slope> slopes;

    /**
     * Creates a table.
     *
     * @param slopes The slopes.
     */
    SlopeTable(List<Slope> slopes) {
        this.slopes = slopes.stream().collect(Collectors.toUnmodifiableMap(Slope::name, Function.identity()));
    }

    /**
     * Finds a slope.
     *
     * @param name The name.
     * @return The slope.
     */
    Slope slope(String name) {
        Slope slope = slopes.get(name);
        if (slope == null) {
            throw new IllegalStateException("no slope " + name);
        }
        return slope;
    }

    /**
     * Returns a cost at a size.
     *
     * @param name The name of the slope.
     * @param size The size.
     * @return The cost.
     */
    double at(String name, double size) {
        return slope(name).at(size);
    }

    /**
     * Adds the two parts of a cost of the configuration.
     *
     * @param prefix The start of the names of the slopes.
     * @return The cost at the target size.
     */
    double configuration(String prefix) {
        double customers = at(prefix + "customers", TargetSize.CUSTOMERS);
        return customers + slope(prefix + "backend servers").fit().slope() * TargetSize.SERVERS;
    }

    /**
     * Returns the cost of one message of an exchange.
     *
     * @param cost The name of the slope of the cost.
     * @param messages The name of the slope of the messages.
     * @return The cost at the largest measured size divided by its messages.
     */
    double perMessage(String cost, String messages) {
        List<Sample> costs = slope(cost).samples();
        List<Sample> numbers = slope(messages).samples();
        return costs.get(costs.size() - 1).y() / numbers.get(numbers.size() - 1).y();
    }
}
