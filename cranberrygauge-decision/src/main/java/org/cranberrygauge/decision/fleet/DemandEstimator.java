package org.cranberrygauge.decision.fleet;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.fleet.FleetView.ModelDemand;
import org.cranberrygauge.decision.usage.UsageSignals;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.service.ServiceClass;

/**
 * Estimates the demand for each model from the reports of gateways.
 *
 * <p>Invariants: a gateway that is new, or whose counter fell, contributes no rate until its next report. Usage counts
 * do not name a model, so the tokens are divided among the models that can be ordered in proportion to their requests
 * in flight. All tiers but the lowest are protected. Not thread-safe; confined to one thread.
 */
public final class DemandEstimator {

    /** The assumed output tokens of a request of a class without any counted request. */
    private static final double DEFAULT_REQUEST_TOKENS = 200;

    private static final double MILLIS_PER_SECOND = 1_000;

    private Map<String, GatewayLoad> previousLoads = Map.of();

    /** The last known output rates in tokens per second. */
    private final Map<GatewayClass, Double> rates = new HashMap<>();

    /**
     * Updates the estimate with a round of reports.
     *
     * @param servers The configured and listed backend servers.
     * @return The demand by model.
     */
    public Map<String, ModelDemand> observe(
            Configuration configuration, List<BackendServer> servers, Collection<GatewayLoad> loads) {
        int lowestTier = configuration.classes().stream()
                .mapToInt(ServiceClass::tier)
                .max()
                .orElse(0);
        double protectedRate = 0;
        double rate = 0;
        double waitingTokens = 0;
        for (ServiceClass serviceClass : configuration.classes()) {
            String name = serviceClass.name();
            double classRate =
                    loads.stream().mapToDouble(load -> rate(load, name)).sum();
            rate += classRate;
            protectedRate += serviceClass.tier() < lowestTier || lowestTier == 0 ? classRate : 0;
            int waiting = loads.stream()
                    .mapToInt(load -> load.waiting().getOrDefault(name, 0))
                    .sum();
            waitingTokens += waiting * meanOutputTokens(loads, name);
        }
        storeLoads(loads);
        Map<String, Double> shares = shares(configuration, servers, loads);
        Map<String, ModelDemand> demand = new HashMap<>();
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            double part = share.getValue();
            demand.put(share.getKey(), new ModelDemand(protectedRate * part, rate * part, waitingTokens * part));
        }
        return demand;
    }

    /**
     * Computes the output rate of a class at a gateway.
     *
     * @return The rate in tokens per second.
     */
    private double rate(GatewayLoad load, String className) {
        GatewayLoad before = previousLoads.get(load.gateway());
        if (before == null) {
            return 0;
        }
        GatewayClass key = new GatewayClass(load.gateway(), className);
        if (load.atMillis() <= before.atMillis()) {
            return rates.getOrDefault(key, 0.0);
        }
        double tokens = UsageSignals.outputTokens(load.signals(), className)
                - UsageSignals.outputTokens(before.signals(), className);
        double rate = Math.max(0, tokens) * MILLIS_PER_SECOND / (load.atMillis() - before.atMillis());
        rates.put(key, rate);
        return rate;
    }

    /** Returns the mean output tokens of a request of a class. */
    private static double meanOutputTokens(Collection<GatewayLoad> loads, String className) {
        double calls = 0;
        double tokens = 0;
        for (GatewayLoad load : loads) {
            calls += UsageSignals.calls(load.signals(), className);
            tokens += UsageSignals.outputTokens(load.signals(), className);
        }
        return calls == 0 ? DEFAULT_REQUEST_TOKENS : tokens / calls;
    }

    /**
     * Divides the demand among the models that can be ordered.
     *
     * @param servers The configured and listed backend servers.
     * @return The share of each model from 0 to 1.
     */
    private static Map<String, Double> shares(
            Configuration configuration, List<BackendServer> servers, Collection<GatewayLoad> loads) {
        Map<String, Double> weights = new HashMap<>();
        configuration.fleet().stream().map(FleetPool::model).forEach(model -> weights.put(model, 1.0));
        for (BackendServer server : servers) {
            int inFlight = loads.stream()
                    .mapToInt(load -> load.inFlight().getOrDefault(server.name(), 0))
                    .sum();
            server.serves().forEach(model -> weights.computeIfPresent(model, (name, weight) -> weight + inFlight));
        }
        double total =
                weights.values().stream().mapToDouble(Double::doubleValue).sum();
        weights.replaceAll((model, weight) -> weight / total);
        return weights;
    }

    /** Keeps a round of reports for the computation of the next rates, and drops the rates of gateways not in it. */
    private void storeLoads(Collection<GatewayLoad> loads) {
        Map<String, GatewayLoad> next = new HashMap<>();
        loads.forEach(load -> next.put(load.gateway(), load));
        previousLoads = next;
        rates.keySet().removeIf(key -> !next.containsKey(key.gateway()));
    }

    /** The key of a rate. */
    private record GatewayClass(String gateway, String className) {}

    /**
     * The load that a gateway reports.
     *
     * @param atMillis The monotonic time at which the report was received, in milliseconds.
     * @param waiting The waiting requests by class.
     * @param inFlight The requests in flight by backend server.
     */
    public record GatewayLoad(
            String gateway,
            long atMillis,
            Map<String, Double> signals,
            Map<String, Integer> waiting,
            Map<String, Integer> inFlight) {

        public GatewayLoad {
            signals = Map.copyOf(signals);
            waiting = Map.copyOf(waiting);
            inFlight = Map.copyOf(inFlight);
        }
    }
}
