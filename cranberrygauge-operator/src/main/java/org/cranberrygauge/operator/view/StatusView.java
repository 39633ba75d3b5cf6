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
 * How the system does.
 *
 * <p>Invariants: what is not known is told as not known, never as good. Immutable and safe for use by several threads.
 *
 * @param version The version of the configuration in force.
 * @param operator The operator who brought it into force.
 * @param leaseHolder The incarnation in charge, or an empty string.
 * @param fencingNumber The fencing number of its lease.
 * @param lastWindow The number of the last closed usage window.
 * @param classes The classes, highest tier first.
 * @param worstCustomer The customer with the lowest attainment, or an empty string.
 * @param worstPercent The attainment of that customer in percent.
 * @param ordered The number of backend servers ordered, or -1 if the platform does not answer.
 * @param costPerHour The cost of these for an hour.
 * @param gateways The gateways that joined and did not leave.
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

    /** The share of requests that shall meet their target in percent. */
    private static final double TARGET_PERCENT = 95;

    /** Copies the lists. */
    public StatusView {
        classes = List.copyOf(classes);
        gateways = List.copyOf(gateways);
    }

    /**
     * A class.
     *
     * @param name The name.
     * @param tier The tier.
     * @param targetMillis The target for the time to the first token in milliseconds.
     * @param percent The share of requests that surely met it, in percent.
     * @param requests The number of requests.
     */
    public record ClassLine(String name, int tier, long targetMillis, double percent, long requests) {}

    /**
     * A gateway.
     *
     * @param host The host.
     * @param dataCentre The data centre.
     * @param answers Whether it answers.
     * @param version The version of the configuration in force there.
     * @param logOffset The offset up to which it read the log.
     * @param logAgeMillis The time since it read the log's end in milliseconds.
     * @param inFlight The number of requests in flight.
     * @param draining Whether it stops.
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
     * Reads how the system does.
     *
     * @param state The state of the log.
     * @param operations The operations of the gateways.
     * @param platform The platform.
     * @param timeoutMillis The time after which the platform is given up in milliseconds.
     * @return The view.
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
                        .map(found -> line(found, attainment.ofClass(found.name())))
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

    /**
     * Writes the view for people.
     *
     * @return The lines.
     */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        lines.add("configuration  version " + version + " by " + (operator.isEmpty() ? "nobody" : operator));
        lines.add("in charge      " + (leaseHolder.isEmpty() ? "nobody" : leaseHolder) + ", fencing number "
                + fencingNumber);
        lines.add("usage          last closed window " + lastWindow);
        lines.add("cost           "
                + (ordered < 0
                        ? "not known, the platform does not answer"
                        : String.format(
                                Locale.ROOT, "%d ordered backend servers, %.2f an hour", ordered, costPerHour)));
        lines.add(String.format(
                Locale.ROOT, "%-24s %4s %10s %9s %12s", "class", "tier", "target", "requests", "attainment"));
        for (ClassLine found : classes) {
            lines.add(String.format(
                    Locale.ROOT,
                    "%-24s %4d %7d ms %9d %12s",
                    found.name(),
                    found.tier(),
                    found.targetMillis(),
                    found.requests(),
                    shown(found)));
        }
        lines.add("worst served   "
                + (worstCustomer.isEmpty()
                        ? "not known, no metrics were read"
                        : String.format(Locale.ROOT, "%s, %.1f %%", worstCustomer, worstPercent)));
        lines.add("metrics from   " + metricsFrom + " gateways");
        gateways.forEach(gateway -> lines.add("gateway        " + shown(gateway)));
        return lines;
    }

    /**
     * Writes the attainment of a class.
     *
     * @param line The class.
     * @return The text.
     */
    private static String shown(ClassLine line) {
        if (line.requests() == 0) {
            return "no request";
        }
        String mark = line.percent() < TARGET_PERCENT ? " !" : "";
        return String.format(Locale.ROOT, "%.1f %%%s", line.percent(), mark);
    }

    /**
     * Writes a gateway.
     *
     * @param line The gateway.
     * @return The text.
     */
    private static String shown(GatewayLine line) {
        if (!line.answers()) {
            return line.host() + " " + line.dataCentre() + ": no answer";
        }
        return line.host() + " " + line.dataCentre() + ": version " + line.version() + ", log offset "
                + line.logOffset() + ", log read " + line.logAgeMillis() + " ms ago, in flight " + line.inFlight()
                + (line.draining() ? ", draining" : "");
    }

    /**
     * Builds the line of a class.
     *
     * @param found The class.
     * @param counts Its counts.
     * @return The line.
     */
    private static ClassLine line(ServiceClass found, Attainment.Counts counts) {
        return new ClassLine(
                found.name(), found.tier(), found.firstTokenTargetMillis(), counts.percent(), counts.total());
    }

    /**
     * Builds the line of a gateway.
     *
     * @param member The gateway.
     * @return The line.
     */
    private static GatewayLine line(GatewayMember member) {
        return GatewayStatusClient.ask(member)
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

    /**
     * Reads the list of backend servers.
     *
     * @param platform The platform.
     * @param timeoutMillis The time after which it is given up in milliseconds.
     * @return The list, or nothing.
     */
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

    /**
     * Tells whether a backend server is paid for.
     *
     * @param server The backend server.
     * @return Whether it was ordered and is live.
     */
    private static boolean isOrdered(ListedBackendServer server) {
        return !server.pool().isEmpty() && server.state() == HostState.LIVE;
    }

    /**
     * Adds up the cost of ordered backend servers.
     *
     * @param configuration The configuration.
     * @param servers The list.
     * @return The cost for an hour.
     */
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
