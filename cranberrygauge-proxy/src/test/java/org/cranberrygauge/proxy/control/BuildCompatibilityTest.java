package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.thrift.TException;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.HostAddress;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.protocol.generated.UsageDecided;
import org.junit.jupiter.api.Test;

/**
 * Guards against messages and records that hosts of two builds can't read of each other while both run side by side. The
 * recorded bytes are those of an earlier build.
 */
class BuildCompatibilityTest {

    private static final String REPORT =
            "1c1806686f73742d31162216061b018c05692d312f31150416c801169003150200190c191c1805692d312f3118"
                    + "047061727416e807001806656173742d6111191c1805692d312f31121650170000000000001440001604160e11"
                    + "0000";

    private static final String PERMIT_QUESTION = "5c16121805692d312f3115040000";

    private static final String PERMIT_ANSWER = "6c161215020000";

    private static final String STREAM_BEGAN = "7c1803722d311807656e67696e6573180276310000";

    private static final String CRASHES = "ac191c1805692d312f311614191c160a15000000191c160c162800110000";

    private static final String USAGE = "4c191c1809686f73742d312f313716081b01860a637573746f6d65722d3110000000";

    private static final String ADDRESS = "180831302e302e302e3115d872162200";

    private static final String DECIDED = "16081b01860a637573746f6d65722d311000";

    /** A field with number 200 and the text "new", followed by the end of its struct. */
    private static final String LATER_FIELD_AND_END = "08900303" + "6e6577" + "00";

    /** The stack of a thread of the program. */
    private static final long SMALL_STACK_BYTES = 256 * 1024;

    private static final int MUTATIONS = 20_000;

    /** The end of a struct. */
    private static final String END = "00";

    @Test
    void theReportOfAnEarlierBuildIsRead() throws TException {
        HostReport report = message(REPORT).getReport();
        assertThat(report.getHost()).isEqualTo("host-1");
        assertThat(report.getWork()).isEqualTo(Map.of("i-1/1", new BackendWork(2, 100, 200, 1)));
        assertThat(report.getStated().get(0).getPerSecond()).isEqualTo(5);
        assertThat(report.getConfigurationVersion()).isEqualTo(7);
        assertThat(report.isReachesBackends()).isTrue();
    }

    @Test
    void whatAnEarlierBuildDoesNotReportIsUnknown() throws TException {
        HostReport report = message(REPORT).getReport();
        assertThat(report.isSetCustomerUse()).isFalse();
        assertThat(report.isSetServerSpeedPercent()).isFalse();
        assertThat(report.isSetLoopDelayMillis()).isFalse();
    }

    @Test
    void theOtherMessagesOfAnEarlierBuildAreRead() throws TException {
        assertThat(message(PERMIT_QUESTION).getPermitQuestion().getCount()).isEqualTo(2);
        assertThat(message(PERMIT_ANSWER).getPermitAnswer().getIssued()).isEqualTo(1);
        assertThat(message(STREAM_BEGAN).getStreamBegan().getVersion()).isEqualTo("v1");
        assertThat(message(CRASHES).getCrashes().getCrashes()).hasSize(1);
        assertThat(message(USAGE).getUsage().getCounts().get(0).getByCustomer()).isEqualTo(Map.of("customer-1", 8L));
    }

    @Test
    void theRecordsOfAnEarlierBuildAreRead() throws TException {
        assertThat(MessageCodec.read(bytes(ADDRESS), new HostAddress()).getPort())
                .isEqualTo(7_340);
        assertThat(MessageCodec.read(bytes(DECIDED), new UsageDecided()).getByCustomer())
                .isEqualTo(Map.of("customer-1", 8L));
    }

    @Test
    void messagesWithoutNewFieldsAreWrittenAsBefore() throws TException {
        for (String recorded : List.of(REPORT, PERMIT_QUESTION, PERMIT_ANSWER, STREAM_BEGAN, CRASHES, USAGE)) {
            assertThat(HexFormat.of().formatHex(MessageCodec.write(message(recorded))))
                    .isEqualTo(recorded);
        }
    }

    @Test
    void aFieldOfALaterBuildIsSkipped() throws TException {
        String report = REPORT.substring(0, REPORT.length() - 2 * END.length());
        assertThat(message(report + LATER_FIELD_AND_END + END)).isEqualTo(message(REPORT));
        String record = ADDRESS.substring(0, ADDRESS.length() - END.length());
        assertThat(MessageCodec.read(bytes(record + LATER_FIELD_AND_END), new HostAddress())
                        .getPort())
                .isEqualTo(7_340);
    }

    @Test
    void aKindOfMessageOfALaterBuildIsReadAsNone() throws TException {
        assertThat(message("0c9003" + END + END).getSetField()).isNull();
    }

    /** Guards against hosts that end because of bytes of another sender. */
    @Test
    void bytesOfAnotherSenderAreReadOrRejected() throws InterruptedException {
        List<String> recorded = List.of(REPORT, PERMIT_QUESTION, PERMIT_ANSWER, STREAM_BEGAN, CRASHES, USAGE);
        AtomicReference<Throwable> failure = new AtomicReference<>();
        Thread reader = new Thread(null, () -> readMutated(recorded), "reader", SMALL_STACK_BYTES);
        reader.setUncaughtExceptionHandler((thread, thrown) -> failure.set(thrown));
        reader.start();
        reader.join();
        assertThat(failure).hasNullValue();
    }

    private static void readMutated(List<String> recorded) {
        readOrReject(bytes("0c9003" + "19".repeat(60_000)));
        readOrReject(bytes("0c9003" + "1c".repeat(60_000)));
        Random random = new Random(49);
        for (int round = 0; round < MUTATIONS; round++) {
            byte[] mutated = bytes(recorded.get(random.nextInt(recorded.size())));
            for (int change = random.nextInt(4); change >= 0; change--) {
                mutated[random.nextInt(mutated.length)] = (byte) random.nextInt();
            }
            readOrReject(Arrays.copyOf(mutated, 1 + random.nextInt(mutated.length)));
            readOrReject(mutated);
        }
    }

    private static void readOrReject(byte[] bytes) {
        try {
            assertThat(MessageCodec.read(bytes, new HostMessage())).isNotNull();
        } catch (TException exception) {
            assertThat(exception).isNotNull();
        }
    }

    private static HostMessage message(String recorded) throws TException {
        return MessageCodec.read(bytes(recorded), new HostMessage());
    }

    private static byte[] bytes(String recorded) {
        return HexFormat.of().parseHex(recorded);
    }
}
