package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.cranberrygauge.decision.configuration.ConfigurationState.Verdict;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.decision.membership.AdmissionFreshness;
import org.cranberrygauge.decision.membership.PeerReport;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.record.LogRecord;

/**
 * An operator withdraws a key while four gateways admit requests by it, and removes a gateway that it cannot reach.
 *
 * <p>Admissions are counted at the gateways. Not thread-safe.
 */
final class ConfigurationScenario implements Scenario {

    private static final long RUN_MILLIS = 40_000;

    private static final long WITHDRAW_MILLIS = 4_000;

    /** The time without contact after which the operator removes a gateway; longer than the freshness bound. */
    private static final long CONTACT_TIMEOUT_MILLIS = 5_000;

    private static final long FRESHNESS_MILLIS = 3_000;

    /** The interval between two exchanges of gateways, and between two rounds of confirmation. */
    private static final long ROUND_MILLIS = 200;

    /** The interval between two requests at a gateway. */
    private static final long REQUEST_MILLIS = 50;

    private static final KeyDigest KEY = KeyDigest.of("withdrawn");

    private final List<Gateway> gateways = new ArrayList<>();

    /** The time of the operator's last contact with each gateway. */
    private final Map<String, Long> lastContactMillis = new HashMap<>();

    /** The identifiers of the changes that took effect. */
    private final Set<String> appliedChanges = new HashSet<>();

    private SimulationContext context;

    private SimulatedProcess operator;

    private LogClient operatorLog;

    /** The configuration before the withdrawal. */
    private Configuration initial;

    /** The version of the configuration before the withdrawal. */
    private long initialVersion;

    /** The version of the configuration that the withdrawal produced; 0 before. */
    private long withdrawnVersion;

    private boolean accepted;

    /** The time at which the withdrawal was accepted; 0 before. */
    private long acceptedAtMillis;

    /** The time of the last request that any gateway admitted by the key. */
    private long lastAdmittedMillis;

    /** The number of requests admitted by the key after its withdrawal was accepted. */
    private int admittedWithdrawn;

    @Override
    public List<Step> steps() {
        return List.of(Step.APPEND, Step.APPLY, Step.CONFIRM);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        operator = context.process("operator");
        operatorLog = new LogClient(context, operator, this::onApplied);
        SimulatedProcess second = context.process("second-operator");
        LogClient secondLog = new LogClient(context, second, applied -> {});
        Customer customer = new Customer("customer", 1, List.of(new CustomerKey("first", KEY)), Set.of());
        List<Customer> customers = List.of(customer);
        initial = new Configuration(
                "matrix",
                List.of(),
                List.of(),
                customers,
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Configuration.empty().times());
        operatorLog.append(new LogRecord.ConfigurationChange("initial", "operator", 0, initial));
        for (int number = 0; number < 4; number++) {
            gateways.add(new Gateway("gateway-" + number));
        }
        Configuration concurrentChange = initial.withCustomer(new Customer("race", 1, List.of(), Set.of()));
        context.onFaults(() -> {}, () -> change(second, secondLog, "race", concurrentChange), process -> {});
        context.scheduler().after(WITHDRAW_MILLIS, this::withdraw);
        context.scheduler().runUntil(RUN_MILLIS);
        return findings();
    }

    private List<Finding> findings() {
        Set<Long> versions = new HashSet<>();
        boolean lost = false;
        for (Gateway gateway : gateways) {
            if (gateway.process.isDead()) {
                continue;
            }
            Configuration last = gateway.log.state().configuration().current().configuration();
            versions.add(gateway.log.state().configuration().current().version());
            lost |= appliedChanges.contains("withdraw")
                    && KeyIndex.of(last).owner(KEY).isPresent();
            lost |= appliedChanges.contains("race") && last.customer("race").isEmpty();
        }
        String counted = "in force " + appliedChanges + ", accepted " + accepted + ", versions " + versions
                + ", admitted by the withdrawn key " + admittedWithdrawn;
        return List.of(
                Finding.of(Invariant.NEVER_REVERTS, lost || versions.size() > 1, !accepted, counted),
                Finding.of(Invariant.WITHDRAWN_KEY, admittedWithdrawn > 0, !accepted, counted));
    }

    /**
     * Returns the time from the append of the withdrawal to its acceptance in milliseconds; -1 if it was not accepted.
     */
    long acceptanceMillis() {
        return acceptedAtMillis == 0 ? -1 : acceptedAtMillis - withdrawnAtMillis();
    }

    /**
     * Returns the time from the append of the withdrawal to the last request admitted by the key in milliseconds; -1
     * if the withdrawal did not take effect.
     */
    long usableAfterWithdrawalMillis() {
        return withdrawnVersion == 0 ? -1 : Math.max(0, lastAdmittedMillis - withdrawnAtMillis());
    }

    private long withdrawnAtMillis() {
        return context.log().entry(withdrawnVersion).appendedAtMillis();
    }

    private void withdraw() {
        Configuration without = initial.withCustomer(initial.customers().get(0).withKeys(List.of()));
        operator.run(
                0, () -> context.step(operator, Step.APPEND, () -> change(operator, operatorLog, "withdraw", without)));
    }

    /** Appends a change that was prepared on the initial configuration. */
    private void change(SimulatedProcess process, LogClient log, String changeId, Configuration configuration) {
        long base = context.isEnabled(Mechanism.OPTIMISTIC_VERSION) ? initialVersion : newestVersion();
        process.run(
                0, () -> log.append(new LogRecord.ConfigurationChange(changeId, process.name(), base, configuration)));
    }

    /** Returns the newest version in force at any gateway. */
    private long newestVersion() {
        return gateways.stream()
                .mapToLong(
                        gateway -> gateway.log.state().configuration().current().version())
                .max()
                .orElse(initialVersion);
    }

    /** Handles the result of applying a change. */
    private void onApplied(ApplyResult applied) {
        if (!(applied instanceof ApplyResult.ChangeResult result) || result.verdict() != Verdict.ACCEPTED) {
            return;
        }
        appliedChanges.add(result.changeId());
        if (result.changeId().equals("initial")) {
            initialVersion = result.offset();
        }
        if (result.changeId().equals("withdraw")) {
            withdrawnVersion = result.offset();
            accepted = !context.isEnabled(Mechanism.ACCEPTANCE);
            gateways.forEach(gateway -> lastContactMillis.put(gateway.process.name(), context.now()));
            operator.run(1, this::confirm);
        }
    }

    /** Starts to ask all members whether they apply the version, until all confirm it. */
    private void confirm() {
        context.step(operator, Step.CONFIRM, () -> operator.run(0, this::askAll));
    }

    /** Asks all members once, and removes those out of contact for too long. */
    private void askAll() {
        boolean allConfirmed = !operator.isPartitioned();
        for (Gateway gateway : gateways) {
            String name = gateway.process.name();
            boolean answers = !operator.isPartitioned() && gateway.process.answers();
            if (answers) {
                lastContactMillis.put(name, context.now());
            }
            boolean member = operatorLog.state().members().contains(name);
            boolean confirmed =
                    answers && gateway.log.state().configuration().current().version() >= withdrawnVersion;
            allConfirmed &= confirmed || !member;
            if (member
                    && !operator.isPartitioned()
                    && context.now() - lastContactMillis.get(name) > CONTACT_TIMEOUT_MILLIS) {
                operatorLog.append(new LogRecord.GatewayLeft(name, "operator"));
                lastContactMillis.put(name, context.now());
            }
        }
        if (allConfirmed && !accepted) {
            accepted = true;
            acceptedAtMillis = context.now();
            context.scheduler().trace("accepted");
        }
        if (!accepted) {
            operator.run(ROUND_MILLIS, this::askAll);
        }
    }

    /** A simulated gateway, which follows the log, exchanges reports with its peers and admits requests by the key. */
    private final class Gateway {

        private final SimulatedProcess process;

        private final LogClient log;

        /** The last report of each peer. */
        private final Map<String, PeerReport> peers = new HashMap<>();

        private Gateway(String name) {
            process = context.process(name);
            log = new LogClient(context, process, applied -> {});
            log.readHook(read -> {
                if (context.now() >= WITHDRAW_MILLIS) {
                    context.step(process, Step.APPLY, read);
                } else {
                    read.run();
                }
            });
            join();
            process.every(ROUND_MILLIS, this::exchange);
            process.every(REQUEST_MILLIS, this::request);
        }

        private void join() {
            log.append(new LogRecord.GatewayJoined(process.name(), "host-" + process.name(), "data-centre", "address"));
        }

        /** Exchanges reports and log entries with all reachable peers. */
        private void exchange() {
            boolean missing = !log.state().members().contains(process.name());
            if (missing && log.isIdle()) {
                join();
            }
            for (Gateway peer : gateways) {
                if (peer == this || process.isPartitioned() || !peer.process.answers()) {
                    continue;
                }
                log.readFrom(peer.log);
                peers.put(
                        peer.process.name(),
                        new PeerReport(
                                peer.process.name(),
                                context.now(),
                                peer.log.state().configuration().current().version(),
                                peer.log.state().offset(),
                                context.now() - peer.log.endReadAtMillis(),
                                Map.of(),
                                false));
            }
        }

        /** Handles a request that carries the key. */
        private void request() {
            boolean known = KeyIndex.of(log.state().configuration().current().configuration())
                    .owner(KEY)
                    .isPresent();
            if (!known || !rule().mayAdmit(context.now(), view())) {
                return;
            }
            lastAdmittedMillis = context.now();
            if (accepted) {
                admittedWithdrawn++;
                context.scheduler().trace(process.name() + " admits by the withdrawn key");
            }
        }

        private AdmissionFreshness rule() {
            return context.isEnabled(Mechanism.FRESHNESS)
                    ? AdmissionFreshness.Default.INSTANCE
                    : AdmissionFreshness.Disabled.INSTANCE;
        }

        /** Builds what this gateway knows. */
        private AdmissionFreshness.View view() {
            return new AdmissionFreshness.View(
                    log.endReadAtMillis(),
                    FRESHNESS_MILLIS,
                    log.state().configuration().current().version(),
                    log.state().offset(),
                    log.state().members().contains(process.name()),
                    log.state().members().all().size() - 1,
                    peers.values());
        }
    }
}
