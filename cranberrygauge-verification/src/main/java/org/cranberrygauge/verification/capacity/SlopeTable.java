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

    private final Map<String, Slope> slopes;

    SlopeTable(List<Slope> slopes) {
        this.slopes = slopes.stream().collect(Collectors.toUnmodifiableMap(Slope::name, Function.identity()));
    }

    Slope slope(String name) {
        Slope slope = slopes.get(name);
        if (slope == null) {
            throw new IllegalStateException("no slope named " + name);
        }
        return slope;
    }

    /** Returns the cost at a size according to the named slope. */
    double at(String name, double size) {
        return slope(name).at(size);
    }

    /**
     * Returns a cost of the configuration at the target size: the sum of its growth with customers and with backend
     * servers.
     */
    double configuration(String prefix) {
        double customers = at(prefix + "customers", TargetSize.CUSTOMERS);
        return customers + slope(prefix + "backend servers").fit().slope() * TargetSize.SERVERS;
    }

    /** Returns the cost of one message at the largest measured size. */
    double perMessage(String cost, String messages) {
        List<Sample> costs = slope(cost).samples();
        List<Sample> numbers = slope(messages).samples();
        return costs.get(costs.size() - 1).y() / numbers.get(numbers.size() - 1).y();
    }
}
