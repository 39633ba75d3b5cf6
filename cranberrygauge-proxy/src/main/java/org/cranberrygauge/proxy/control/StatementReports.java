package org.cranberrygauge.proxy.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.cranberrygauge.decision.backend.BackendStatements.Limit;
import org.cranberrygauge.decision.backend.BackendStatements.Shared;
import org.cranberrygauge.protocol.generated.BackendStated;

/**
 * Converts what backend servers state of themselves for the reports of hosts, which carry ages, since the hosts' clocks
 * differ. Stateless and thread-safe.
 */
final class StatementReports {

    private StatementReports() {}

    /**
     * Writes statements.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @param shared The statements by incarnation.
     */
    static List<BackendStated> write(long nowMillis, Map<String, Shared> shared) {
        List<BackendStated> written = new ArrayList<>();
        shared.forEach((incarnation, statement) -> {
            BackendStated stated = new BackendStated(incarnation, statement.leaving());
            statement.limit().ifPresent(limit -> {
                stated.setLimitAgeMillis(nowMillis - limit.statedMillis());
                limit.perSecond().ifPresent(stated::setPerSecond);
            });
            written.add(stated);
        });
        return written;
    }

    /**
     * Reads statements.
     *
     * @param nowMillis The current monotonic time in milliseconds.
     * @return The statements by incarnation.
     */
    static Map<String, Shared> read(long nowMillis, List<BackendStated> written) {
        Map<String, Shared> shared = new HashMap<>();
        for (BackendStated stated : written) {
            shared.put(stated.getIncarnation(), new Shared(limit(nowMillis, stated), stated.isLeaving()));
        }
        return shared;
    }

    private static Optional<Limit> limit(long nowMillis, BackendStated stated) {
        if (!stated.isSetLimitAgeMillis()) {
            return Optional.empty();
        }
        OptionalDouble perSecond =
                stated.isSetPerSecond() ? OptionalDouble.of(stated.getPerSecond()) : OptionalDouble.empty();
        if (perSecond.isPresent() && !(Double.isFinite(perSecond.getAsDouble()) && perSecond.getAsDouble() >= 0)) {
            return Optional.empty();
        }
        return Optional.of(new Limit(perSecond, nowMillis - Math.max(0, stated.getLimitAgeMillis())));
    }
}
