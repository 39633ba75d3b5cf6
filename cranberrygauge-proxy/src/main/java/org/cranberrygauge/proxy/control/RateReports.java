package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import org.cranberrygauge.decision.limit.StatedLimits.Statement;
import org.cranberrygauge.protocol.generated.RateStated;

/**
 * Converts what backend servers state about their limits for the reports of hosts, which carry ages, since the hosts'
 * clocks differ. Stateless and thread-safe.
 */
final class RateReports {

    private RateReports() {}

    /**
     * Writes statements.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param statements The statements by incarnation.
     */
    static List<RateStated> write(long nowMillis, Map<String, Statement> statements) {
        List<RateStated> rates = new ArrayList<>();
        statements.forEach((incarnation, statement) -> {
            RateStated rate = new RateStated(incarnation, nowMillis - statement.statedMillis());
            statement.perSecond().ifPresent(rate::setPerSecond);
            rates.add(rate);
        });
        return rates;
    }

    /**
     * Reads statements.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The statements by incarnation.
     */
    static Map<String, Statement> read(long nowMillis, List<RateStated> rates) {
        Map<String, Statement> statements = new HashMap<>();
        for (RateStated rate : rates) {
            OptionalDouble perSecond =
                    rate.isSetPerSecond() ? OptionalDouble.of(rate.getPerSecond()) : OptionalDouble.empty();
            statements.put(rate.getIncarnation(), new Statement(perSecond, nowMillis - rate.getAgeMillis()));
        }
        return statements;
    }
}
