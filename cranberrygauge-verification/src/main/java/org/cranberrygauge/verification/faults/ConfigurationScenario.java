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
 * An operator withdraws a key while four gateways admit by it, and declares a gateway gone that it cannot reach.
 *
 * <p>Admissions are counted at the gateways' doors. Used by one thread.
 */
final class ConfigurationScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 40_000;

    /** The time of the withdrawal in milliseconds. */
    private static final long WITHDRAW_MILLIS = 4_000;

    /** The time after which the operator declares a silent gateway gone in milliseconds, longer than the freshness bound. */
    private static final long GONE_MILLIS = 5_000;

    /** The freshness bound in milliseconds. */
    private static final long FRESHNESS_MILLIS = 3_000;

    /** The time between two exchanges, and between two rounds of confirmation, in milliseconds. */
    private static final long ROUND_MILLIS = 200;

    /** The time between two requests at a gateway in milliseconds. */
    private static final long REQUEST_MILLIS = 50;

    /** The key that is withdrawn. */
    private static final KeyDigest KEY = KeyDigest.of("withdrawn");

    /** The gateways. */
    private final List<Gateway> gateways = new ArrayList<>();

    /** The last time at which the operator reached each gateway in milliseconds. */
    private final Map<String, Long> reached = new HashMap<>();

    /** The identifiers of the changes that took effect. */
    private final Set<String> effective = new HashSet<>();

    /** The world. */
    private SimulationContext world;

    /** The operator. */
    private SimulatedProcess operator;

    /** The operator's view of the log. */
    private LogClient operatorLog;

    /** The configuration as it is before the withdrawal. */
    private Configuration initial;

    /** The version of the configuration before the withdrawal. */
    private long initialVersion;

    /** The version that the withdrawal brought into force; 0 for none. */
    private long withdrawnVersion;

    /** Whether the withdrawal was accepted. */
    private boolean accepted;

    /** The time at which the withdrawal was accepted in milliseconds; 0 for not. */
    private long acceptedAtMillis;

    /** The time of the last request that any gateway admitted by the key in milliseconds. */
    private long lastAdmittedMillis;

    /** The number of requests that were admitted by the key after its withdrawal was accepted. */
    private int admittedWithdrawn;

    @Override
    public List<Step> steps() {
        return List.of(Step.APPEND, Step.APPLY, Step.CONFIRM);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        operator = world.process("operator");
        operatorLog = new LogClient(world, operator, this::onEffect);
        SimulatedProcess second = world.process("second-operator");
        LogClient secondLog = new LogClient(world, second, effect -> {});
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
        Configuration raced = initial.withCustomer(new Customer("race", 1, List.of(), Set.of()));
        world.onFaults(() -> {}, () -> change(second, secondLog, "race", raced), process -> {});
        world.timeline().after(WITHDRAW_MILLIS, this::withdraw);
        world.timeline().runUntil(RUN_MILLIS);
        return findings();
    }

    /**
     * Judges the run.
     *
     * @return What it showed.
     */
    private List<Finding> findings() {
        Set<Long> versions = new HashSet<>();
        boolean lost = false;
        for (Gateway gateway : gateways) {
            if (gateway.process.isDead()) {
                continue;
            }
            Configuration last = gateway.log.state().configuration().current().configuration();
            versions.add(gateway.log.state().configuration().current().version());
            lost |= effective.contains("withdraw")
                    && KeyIndex.of(last).owner(KEY).isPresent();
            lost |= effective.contains("race") && last.customer("race").isEmpty();
        }
        String counted = "in force " + effective + ", accepted " + accepted + ", versions " + versions
                + ", admitted by the withdrawn key " + admittedWithdrawn;
        return List.of(
                Finding.of(Invariant.NEVER_REVERTS, lost || versions.size() > 1, !accepted, counted),
                Finding.of(Invariant.WITHDRAWN_KEY, admittedWithdrawn > 0, !accepted, counted));
    }

    /**
     * Returns the time from the record of the withdrawal in the log to its acceptance.
     *
     * @return The time in milliseconds; -1 if it was not accepted.
     */
    long acceptanceMillis() {
        return acceptedAtMillis == 0 ? -1 : acceptedAtMillis - withdrawnAtMillis();
    }

    /**
     * Returns the time from the record of the withdrawal in the log to the last request admitted by the key.
     *
     * @return The time in milliseconds; -1 if the withdrawal did not take effect.
     */
    long workedOnMillis() {
        return withdrawnVersion == 0 ? -1 : Math.max(0, lastAdmittedMillis - withdrawnAtMillis());
    }

    /**
     * Returns the time at which the log took the withdrawal.
     *
     * @return The time in milliseconds.
     */
    private long withdrawnAtMillis() {
        return world.log().entry(withdrawnVersion).appendedAtMillis();
    }

    /** Withdraws the key. */
    private void withdraw() {
        Configuration without = initial.withCustomer(initial.customers().get(0).withKeys(List.of()));
        operator.run(
                0, () -> world.step(operator, Step.APPEND, () -> change(operator, operatorLog, "withdraw", without)));
    }

    /**
     * Appends a change that was prepared on the initial configuration.
     *
     * @param process The process of the operator.
     * @param log Its view of the log.
     * @param changeId The identifier of the change.
     * @param configuration The configuration after the change.
     */
    private void change(SimulatedProcess process, LogClient log, String changeId, Configuration configuration) {
        long base = world.on(Mechanism.OPTIMISTIC_VERSION) ? initialVersion : newestVersion();
        process.run(
                0, () -> log.append(new LogRecord.ConfigurationChange(changeId, process.name(), base, configuration)));
    }

    /**
     * Returns the newest version in force at any gateway.
     *
     * @return The version.
     */
    private long newestVersion() {
        return gateways.stream()
                .mapToLong(
                        gateway -> gateway.log.state().configuration().current().version())
                .max()
                .orElse(initialVersion);
    }

    /**
     * Takes what became of a change.
     *
     * @param effect The effect.
     */
    private void onEffect(ApplyResult effect) {
        if (!(effect instanceof ApplyResult.ChangeResult judged) || judged.verdict() != Verdict.ACCEPTED) {
            return;
        }
        effective.add(judged.changeId());
        if (judged.changeId().equals("initial")) {
            initialVersion = judged.offset();
        }
        if (judged.changeId().equals("withdraw")) {
            withdrawnVersion = judged.offset();
            accepted = !world.on(Mechanism.ACCEPTANCE);
            gateways.forEach(gateway -> reached.put(gateway.process.name(), world.now()));
            operator.run(1, this::confirm);
        }
    }

    /** Asks all members whether they have the version, until they do. */
    private void confirm() {
        world.step(operator, Step.CONFIRM, () -> operator.run(0, this::askAll));
    }

    /** Asks all members once. */
    private void askAll() {
        boolean all = !operator.isCut();
        for (Gateway gateway : gateways) {
            String name = gateway.process.name();
            boolean answers = !operator.isCut() && gateway.process.answers();
            if (answers) {
                reached.put(name, world.now());
            }
            boolean member = operatorLog.state().members().contains(name);
            boolean confirmed =
                    answers && gateway.log.state().configuration().current().version() >= withdrawnVersion;
            all &= confirmed || !member;
            if (member && !operator.isCut() && world.now() - reached.get(name) > GONE_MILLIS) {
                operatorLog.append(new LogRecord.GatewayLeft(name, "operator"));
                reached.put(name, world.now());
            }
        }
        if (all && !accepted) {
            accepted = true;
            acceptedAtMillis = world.now();
            world.timeline().note("accepted");
        }
        if (!accepted) {
            operator.run(ROUND_MILLIS, this::askAll);
        }
    }

    /** One gateway. */
    private final class Gateway {

        /** The process. */
        private final SimulatedProcess process;

        /** The log. */
        private final LogClient log;

        /** The last report of each peer. */
        private final Map<String, PeerReport> peers = new HashMap<>();

        /**
         * Creates a gateway and starts it.
         *
         * @param name The name.
         */
        private Gateway(String name) {
            process = world.process(name);
            log = new LogClient(world, process, effect -> {});
            log.beforeRead(read -> {
                if (world.now() >= WITHDRAW_MILLIS) {
                    world.step(process, Step.APPLY, read);
                } else {
                    read.run();
                }
            });
            join();
            process.every(ROUND_MILLIS, this::exchange);
            process.every(REQUEST_MILLIS, this::request);
        }

        /** Joins. */
        private void join() {
            log.append(new LogRecord.GatewayJoined(process.name(), "host-" + process.name(), "data-centre", "address"));
        }

        /** Exchanges reports and entries with all peers that can be reached. */
        private void exchange() {
            boolean missing = !log.state().members().contains(process.name());
            if (missing && log.isIdle()) {
                join();
            }
            for (Gateway peer : gateways) {
                if (peer == this || process.isCut() || !peer.process.answers()) {
                    continue;
                }
                log.readFrom(peer.log);
                peers.put(
                        peer.process.name(),
                        new PeerReport(
                                peer.process.name(),
                                world.now(),
                                peer.log.state().configuration().current().version(),
                                peer.log.state().offset(),
                                world.now() - peer.log.endReadAtMillis(),
                                Map.of(),
                                false));
            }
        }

        /** Takes a request that comes with the key. */
        private void request() {
            boolean known = KeyIndex.of(log.state().configuration().current().configuration())
                    .owner(KEY)
                    .isPresent();
            if (!known || !rule().mayAdmit(world.now(), view())) {
                return;
            }
            lastAdmittedMillis = world.now();
            if (accepted) {
                admittedWithdrawn++;
                world.timeline().note(process.name() + " admits by the withdrawn key");
            }
        }

        /**
         * Returns the rule of freshness.
         *
         * @return The rule.
         */
        private AdmissionFreshness rule() {
            return world.on(Mechanism.FRESHNESS)
                    ? AdmissionFreshness.Default.INSTANCE
                    : AdmissionFreshness.Disabled.INSTANCE;
        }

        /**
         * Builds what this gateway knows.
         *
         * @return The view.
         */
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
