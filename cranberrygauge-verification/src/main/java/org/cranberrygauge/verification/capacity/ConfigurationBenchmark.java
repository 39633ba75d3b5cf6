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
 * <p>Not thread-safe.
 */
final class ConfigurationBenchmark {

    private static final int[] CUSTOMERS = {10, 50, 100, 200, 400, 670};

    /** The measured numbers of backend servers. */
    private static final int[] SERVERS = {8, 50, 100, 200, 400, 940};

    private static final int FEW_SERVERS = 8;

    private static final int FEW_CUSTOMERS = 10;

    /** The number of copies whose memory is measured at once. */
    private static final int COPIES = 20;

    private final Meter meter;

    ConfigurationBenchmark(Meter meter) {
        this.meter = meter;
    }

    List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        measureConfigurations("customers", CUSTOMERS, true, slopes);
        measureConfigurations("backend servers", SERVERS, false, slopes);
        measureKeyIndex(slopes);
        measureEdits(slopes);
        return slopes;
    }

    /** Measures whole configurations while either the number of customers or that of backend servers varies. */
    private void measureConfigurations(String unit, int[] sizes, boolean customers, List<Slope> slopes) {
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
            micros.add(new Sample(size, meter.micros(() -> applyToNewState(payload))));
            memory.add(new Sample(size, meter.bytes(copies -> parseCopies(payload, copies), COPIES) / COPIES));
        }
        slopes.add(Slope.of("configuration bytes by " + unit, unit, "bytes", bytes));
        slopes.add(Slope.of("configuration read and apply by " + unit, unit, "microseconds", micros));
        slopes.add(Slope.of("configuration memory by " + unit, unit, "bytes", memory));
    }

    private void measureKeyIndex(List<Slope> slopes) {
        List<Sample> build = new ArrayList<>();
        List<Sample> check = new ArrayList<>();
        for (int size : CUSTOMERS) {
            Configuration configuration = SyntheticData.configuration(size, FEW_SERVERS);
            KeyIndex index = KeyIndex.of(configuration);
            String key = SyntheticData.key(size / 2);
            build.add(new Sample(size, meter.micros(() -> KeyIndex.of(configuration))));
            check.add(new Sample(size, meter.micros(() -> index.owner(KeyDigest.of(key)))));
        }
        slopes.add(Slope.of("key index build", "customers", "microseconds", build));
        slopes.add(Slope.of("key check of one request", "customers", "microseconds", check));
    }

    /** Measures the edit of one customer. */
    private void measureEdits(List<Slope> slopes) {
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

    private static Configuration applied(ConfigurationEdit edit, Configuration configuration) {
        try {
            return edit.apply(configuration);
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("the edited customer must exist", exception);
        }
    }

    /** Parses an entry and applies it to a new state. */
    private static LogState applyToNewState(String payload) {
        LogState state = new LogState();
        try {
            state.apply(1, 1, LogCodec.read(payload));
        } catch (CranberrygaugeException exception) {
            throw new IllegalStateException("an entry written by the codec must be readable", exception);
        }
        if (state.configuration().current().version() != 1) {
            throw new IllegalStateException("the generated configuration is invalid");
        }
        return state;
    }

    /** Parses an entry several times. */
    private static Object parseCopies(String payload, int copies) {
        List<LogState> states = new ArrayList<>();
        for (int copy = 0; copy < copies; copy++) {
            states.add(applyToNewState(payload));
        }
        return states;
    }
}
