package org.cranberrygauge.verification.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.decision.configuration.KeyIndex;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.decision.state.LogState;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.record.LogEntry;
import org.cranberrygauge.model.record.LogRecord;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.protocol.log.LogCodec;

/**
 * Measures configurations, their changes and the index of keys.
 *
 * <p>Used by one thread.
 */
final class ConfigurationBenchmark {

    /** The numbers of customers. */
    private static final int[] CUSTOMERS = {10, 50, 100, 200, 400, 670};

    /** The numbers of backend servers. */
    private static final int[] SERVERS = {8, 50, 100, 200, 400, 940};

    /** The smallest number of backend servers. */
    private static final int FEW_SERVERS = 8;

    /** The smallest number of customers. */
    private static final int FEW_CUSTOMERS = 10;

    /** The number of copies whose memory is read at once. */
    private static final int COPIES = 20;

    /** The meter. */
    private final Meter meter;

    /**
     * Creates the measures.
     *
     * @param meter The meter.
     */
    ConfigurationBenchmark(Meter meter) {
        this.meter = meter;
    }

    /**
     * Measures all.
     *
     * @return The slopes.
     */
    List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        vary("customers", CUSTOMERS, true, slopes);
        vary("backend servers", SERVERS, false, slopes);
        keys(slopes);
        edits(slopes);
        return slopes;
    }

    /**
     * Measures whole configurations while one size varies.
     *
     * @param unit What varies.
     * @param sizes The sizes.
     * @param customers Whether the customers vary, else the backend servers.
     * @param slopes Takes the slopes.
     */
    private void vary(String unit, int[] sizes, boolean customers, List<Slope> slopes) {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        List<Sample> memory = new ArrayList<>();
        for (int size : sizes) {
            Configuration configuration = customers
                    ? SyntheticData.configuration(size, FEW_SERVERS)
                    : SyntheticData.configuration(FEW_CUSTOMERS, size);
            String payload = LogCodec.write(new LogEntry(
                    "operator:cli/1", 1, List.of(new LogRecord.ConfigurationChange("c", "cli", 0, configuration))));
            bytes.add(new Sample(size, LogBenchmark.length(payload)));
            micros.add(new Sample(size, meter.micros(() -> follow(payload))));
            memory.add(new Sample(size, meter.bytes(copies -> copies(payload, copies), COPIES) / COPIES));
        }
        slopes.add(Slope.of("configuration bytes by " + unit, unit, "bytes", bytes));
        slopes.add(Slope.of("configuration read and apply by " + unit, unit, "microseconds", micros));
        slopes.add(Slope.of("configuration memory by " + unit, unit, "bytes", memory));
    }

    /**
     * Measures the index of keys.
     *
     * @param slopes Takes the slopes.
     */
    private void keys(List<Slope> slopes) {
        List<Sample> build = new ArrayList<>();
        List<Sample> check = new ArrayList<>();
        for (int size : CUSTOMERS) {
            Configuration configuration = SyntheticData.configuration(size, FEW_SERVERS);
            KeyIndex ring = KeyIndex.of(configuration);
            String key = SyntheticData.key(size / 2);
            build.add(new Sample(size, meter.micros(() -> KeyIndex.of(configuration))));
            check.add(new Sample(size, meter.micros(() -> ring.owner(KeyDigest.of(key)))));
        }
        slopes.add(Slope.of("key index build", "customers", "microseconds", build));
        slopes.add(Slope.of("key check of one request", "customers", "microseconds", check));
    }

    /**
     * Measures the edit of one customer.
     *
     * @param slopes Takes the slopes.
     */
    private void edits(List<Slope> slopes) {
        List<Sample> bytes = new ArrayList<>();
        List<Sample> micros = new ArrayList<>();
        for (int size : CUSTOMERS) {
            Configuration configuration = SyntheticData.configuration(size, FEW_SERVERS);
            ConfigurationEdit edit = new ConfigurationEdit.PutCustomer(
                    ConfigurationEdit.Mode.CHANGE, SyntheticData.customer(size / 2, Set.of("class-0")));
            bytes.add(new Sample(size, LogBenchmark.length(JsonCodec.write(edit))));
            micros.add(new Sample(size, meter.micros(() -> applied(edit, configuration))));
        }
        slopes.add(Slope.of("edit bytes", "customers", "bytes", bytes));
        slopes.add(Slope.of("edit apply", "customers", "microseconds", micros));
    }

    /**
     * Applies an edit.
     *
     * @param edit The edit.
     * @param configuration The configuration before.
     * @return The configuration after.
     */
    private static Configuration applied(ConfigurationEdit edit, Configuration configuration) {
        try {
            return edit.apply(configuration);
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("the customer is there", exception);
        }
    }

    /**
     * Reads and applies an entry.
     *
     * @param payload The entry.
     * @return The state.
     */
    private static LogState follow(String payload) {
        LogState state = new LogState();
        try {
            state.apply(1, 1, LogCodec.read(payload));
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("the entry was written by the codec", exception);
        }
        if (state.configuration().current().version() != 1) {
            throw new IllegalStateException("the configuration failed its checks");
        }
        return state;
    }

    /**
     * Reads an entry several times.
     *
     * @param payload The entry.
     * @param copies The number of copies.
     * @return The copies.
     */
    private static Object copies(String payload, int copies) {
        List<LogState> states = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            states.add(follow(payload));
        }
        return states;
    }
}
