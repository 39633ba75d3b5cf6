package org.cranberrygauge.operator.view;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.cranberrygauge.decision.membership.GatewayMember;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.backend.HostState;
import org.cranberrygauge.model.backend.ListedBackendServer;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.configuration.FleetPool;
import org.cranberrygauge.model.service.ServiceClass;
import org.cranberrygauge.protocol.platform.Platform;
import org.cranberrygauge.runtime.platform.GatewayStatusClient;

/**
 * The status of the system.
 *
 * <p>Invariants: unknown values are shown as unknown, never as good. Immutable and safe for use by several threads.
 *
 * @param version The version of the configuration in force.
 * @param operator The operator who brought it into force.
 * @param leaseHolder The incarnation that holds the lease, or an empty string if none does.
 * @param fencingNumber The fencing number of the lease.
 * @param lastWindow The number of the last closed usage window.
 * @param classes The classes, highest tier first.
 * @param worstCustomer The customer with the lowest attainment, or an empty string if none is known.
 * @param worstPercent The attainment of that customer in percent.
 * @param ordered The number of live backend servers that were ordered, or -1 if the platform does not answer.
 * @param costPerHour The cost of the ordered backend servers per hour.
 * @param gateways The member gateways.
 * @param metricsFrom The number of gateways whose metrics were read.
 */
public record StatusView(
        long version,
        String operator,
        String leaseHolder,
        long fencingNumber,
        long lastWindow,
        List<ClassLine> classes,
        String worstCustomer,
        double worstPercent,
        int ordered,
        double costPerHour,
        List<GatewayLine> gateways,
        int metricsFrom) {

    /** Classes with a lower attainment are marked. */
    private static final double TARGET_ATTAINMENT_PERCENT = 95;

    public StatusView {
        classes = List.copyOf(classes);
        gateways = List.copyOf(gateways);
    }

    /**
     * The status of a class.
     *
     * @param targetMillis The target for the time to the first token in milliseconds.
     * @param percent The share of requests that certainly met the target, in percent.
     */
    public record ClassLine(String name, int tier, long targetMillis, double percent, long requests) {}

    /**
     * The status of a gateway.
     *
     * @param answers Whether the gateway answers.
     * @param version The version of the configuration that the gateway applies.
     * @param logOffset The offset up to which the gateway has read the log.
     * @param logAgeMillis The time since the gateway last read the end of the log in milliseconds.
     * @param draining Whether the gateway is shutting down.
     */
    public record GatewayLine(
            String host,
            String dataCentre,
            boolean answers,
            long version,
            long logOffset,
            long logAgeMillis,
            int inFlight,
            boolean draining) {}

    /**
     * Reads the status of the system from the log, the gateways and the platform.
     *
     * @param timeoutMillis The timeout of the call to the platform in milliseconds.
     */
    public static StatusView read(LogState state, OperationsClient operations, Platform platform, long timeoutMillis) {
        Configuration configuration = state.configuration().current().configuration();
        Map<?, String> metrics = operations.metrics();
        Attainment attainment = Attainment.of(configuration, metrics.values());
        Optional<Map.Entry<String, Attainment.Counts>> worst = attainment.byCustomer().entrySet().stream()
                .min(Comparator.comparingDouble(entry -> entry.getValue().percent()));
        Optional<List<ListedBackendServer>> listed = listed(platform, timeoutMillis);
        return new StatusView(
                state.configuration().current().version(),
                state.configuration().lastOperator(),
                state.lease().released() ? "" : state.lease().holder(),
                state.lease().fencingNumber(),
                state.usage().lastClosed(),
                configuration.classes().stream()
                        .sorted(Comparator.comparingInt(ServiceClass::tier))
                        .map(serviceClass -> line(serviceClass, attainment.ofClass(serviceClass.name())))
                        .toList(),
                worst.map(Map.Entry::getKey).orElse(""),
                worst.map(entry -> entry.getValue().percent()).orElse(0.0),
                listed.map(servers -> (int)
                                servers.stream().filter(StatusView::isOrdered).count())
                        .orElse(-1),
                listed.map(servers -> cost(configuration, servers)).orElse(0.0),
                state.members().all().stream()
                        .sorted(Comparator.comparing(GatewayMember::host))
                        .map(StatusView::line)
                        .toList(),
                metrics.size());
    }

    /** Formats the status as lines of text. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("configuration  version " + version + " by " + (operator.isEmpty() ? "nobody" : operator));
        lines.add("lease holder   " + (leaseHolder.isEmpty() ? "nobody" : leaseHolder) + ", fencing number "
                + fencingNumber);
        lines.add("usage          last closed window " + lastWindow);
        lines.add("cost           "
                + (ordered < 0
                        ? "not known, the platform does not answer"
                        : String.format(
                                Locale.ROOT, "%d ordered backend servers, %.2f an hour", ordered, costPerHour)));
        lines.add(String.format(
                Locale.ROOT, "%-24s %4s %10s %9s %12s", "class", "tier", "target", "requests", "attainment"));
        for (ClassLine line : classes) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%-24s %4d %7d ms %9d %12s",
                    line.name(),
                    line.tier(),
                    line.targetMillis(),
                    line.requests(),
                    format(line)));
        }
        lines.add("worst served   "
                + (worstCustomer.isEmpty()
                        ? "not known, no metrics were read"
                        : String.format(Locale.ROOT, "%s, %.1f %%", worstCustomer, worstPercent)));
        lines.add("metrics from   " + metricsFrom + " gateways");
        gateways.forEach(gateway -> lines.add("gateway        " + format(gateway)));
        return lines;
    }

    private static String format(ClassLine line) {
        if (line.requests() == 0) {
            return "no request";
        }
        String mark = line.percent() < TARGET_ATTAINMENT_PERCENT ? " !" : "";
        return String.format(Locale.ROOT, "%.1f %%%s", line.percent(), mark);
    }

    private static String format(GatewayLine line) {
        if (!line.answers()) {
            return line.host() + " " + line.dataCentre() + ": no answer";
        }
        return line.host() + " " + line.dataCentre() + ": version " + line.version() + ", log offset "
                + line.logOffset() + ", log read " + line.logAgeMillis() + " ms ago, in flight " + line.inFlight()
                + (line.draining() ? ", draining" : "");
    }

    private static ClassLine line(ServiceClass serviceClass, Attainment.Counts counts) {
        return new ClassLine(
                serviceClass.name(),
                serviceClass.tier(),
                serviceClass.firstTokenTargetMillis(),
                counts.percent(),
                counts.total());
    }

    private static GatewayLine line(GatewayMember member) {
        return GatewayStatusClient.fetchReport(member)
                .map(report -> new GatewayLine(
                        member.host(),
                        member.dataCentre(),
                        true,
                        report.getConfigurationVersion(),
                        report.getLogOffset(),
                        report.getLogAgeMillis(),
                        report.getInFlight().values().stream()
                                .mapToInt(Integer::intValue)
                                .sum(),
                        report.isDraining()))
                .orElseGet(() -> new GatewayLine(member.host(), member.dataCentre(), false, 0, 0, 0, 0, false));
    }

    private static Optional<List<ListedBackendServer>> listed(Platform platform, long timeoutMillis) {
        try {
            return Optional.of(
                    platform.backendServers().toCompletableFuture().get(timeoutMillis, TimeUnit.MILLISECONDS));
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return Optional.empty();
        } catch (ExecutionException | TimeoutException exception) {
            return Optional.empty();
        }
    }

    /** Returns whether a backend server incurs cost, that is, was ordered and is live. */
    private static boolean isOrdered(ListedBackendServer server) {
        return !server.pool().isEmpty() && server.state() == HostState.LIVE;
    }

    private static double cost(Configuration configuration, List<ListedBackendServer> servers) {
        double cost = 0;
        for (FleetPool pool : configuration.fleet()) {
            cost += pool.costPerHour()
                    * servers.stream()
                            .filter(server -> isOrdered(server) && server.pool().equals(pool.name()))
                            .count();
        }
        return cost;
    }
}
