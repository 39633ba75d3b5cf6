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
 * Works out the demand for each model from what gateways report.
 *
 * <p>Invariants: a gateway that is seen for the first time, or whose count fell, adds nothing until it is seen again. Since
 * usage names no model, the tokens are divided among the models that can be ordered by their requests in flight. The classes
 * of all tiers but the lowest are protected. Used by one thread.
 */
public final class DemandEstimator {

    /** The output tokens of a request of a class that no request of was counted yet. */
    private static final double UNKNOWN_TOKENS = 200;

    /** The number of milliseconds in a second. */
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The last load of each gateway. */
    private Map<String, GatewayLoad> last = Map.of();

    /** The last known output rates in tokens a second. */
    private final Map<Counted, Double> rates = new HashMap<>();

    /**
     * Takes a round of reports in.
     *
     * @param configuration The configuration.
     * @param servers The backend servers that are configured or listed.
     * @param loads The loads of the gateways.
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
            waitingTokens += waiting * tokensOfRequest(loads, name);
        }
        remember(loads);
        Map<String, Double> shares = shares(configuration, servers, loads);
        Map<String, ModelDemand> demand = new HashMap<>();
        for (Map.Entry<String, Double> share : shares.entrySet()) {
            double part = share.getValue();
            demand.put(share.getKey(), new ModelDemand(protectedRate * part, rate * part, waitingTokens * part));
        }
        return demand;
    }

    /**
     * Works out the rate of a class at a gateway.
     *
     * @param load The load of the gateway.
     * @param className The name of the class.
     * @return The output tokens a second.
     */
    private double rate(GatewayLoad load, String className) {
        GatewayLoad before = last.get(load.gateway());
        if (before == null) {
            return 0;
        }
        Counted key = new Counted(load.gateway(), className);
        if (load.atMillis() <= before.atMillis()) {
            return rates.getOrDefault(key, 0.0);
        }
        double tokens = UsageSignals.outputTokens(load.signals(), className)
                - UsageSignals.outputTokens(before.signals(), className);
        double rate = Math.max(0, tokens) * MILLIS_PER_SECOND / (load.atMillis() - before.atMillis());
        rates.put(key, rate);
        return rate;
    }

    /**
     * Estimates the output tokens of a request of a class.
     *
     * @param loads The loads of the gateways.
     * @param className The name of the class.
     * @return The tokens.
     */
    private static double tokensOfRequest(Collection<GatewayLoad> loads, String className) {
        double calls = 0;
        double tokens = 0;
        for (GatewayLoad load : loads) {
            calls += UsageSignals.calls(load.signals(), className);
            tokens += UsageSignals.outputTokens(load.signals(), className);
        }
        return calls == 0 ? UNKNOWN_TOKENS : tokens / calls;
    }

    /**
     * Divides the demand among the models that can be ordered.
     *
     * @param configuration The configuration.
     * @param servers The backend servers that are configured or listed.
     * @param loads The loads of the gateways.
     * @return The share of each model.
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

    /**
     * Remembers a round of reports.
     *
     * @param loads The loads of the gateways.
     */
    private void remember(Collection<GatewayLoad> loads) {
        Map<String, GatewayLoad> next = new HashMap<>();
        loads.forEach(load -> next.put(load.gateway(), load));
        last = next;
        rates.keySet().removeIf(key -> !next.containsKey(key.gateway()));
    }

    /**
     * What a rate is kept by.
     *
     * @param gateway The incarnation of the gateway.
     * @param className The name of the class.
     */
    private record Counted(String gateway, String className) {}

    /**
     * What a gateway reports of its load.
     *
     * @param gateway The incarnation of the gateway.
     * @param atMillis The monotonic time at which it was heard.
     * @param signals The signals by name.
     * @param waiting The requests that wait, by class.
     * @param inFlight The requests in flight, by backend server.
     */
    public record GatewayLoad(
            String gateway,
            long atMillis,
            Map<String, Double> signals,
            Map<String, Integer> waiting,
            Map<String, Integer> inFlight) {

        /** Copies the maps. */
        public GatewayLoad {
            signals = Map.copyOf(signals);
            waiting = Map.copyOf(waiting);
            inFlight = Map.copyOf(inFlight);
        }
    }
}
