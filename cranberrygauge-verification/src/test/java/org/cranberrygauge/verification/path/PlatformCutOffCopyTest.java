package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.platform.Platform.Order;
import org.cranberrygauge.protocol.platform.Platform.UsageReport;
import org.cranberrygauge.runtime.platform.HttpPlatform;
import org.cranberrygauge.verification.path.CopyingServer.Moment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against calls to the platform that take the status of an earlier response, written once more and cut off (issue 59). */
class PlatformCutOffCopyTest {

    private static final long TIMEOUT_MILLIS = 2_000;

    private static final String USAGE_TAKEN = CopyingServer.response("200 OK", "{}");

    private static final String UNAVAILABLE = CopyingServer.response("503 Service Unavailable", "\"not now\"");

    private static final String ORDER_TAKEN =
            CopyingServer.response("200 OK", "{\"result\":\"taken\",\"presentCount\":3}");

    private static final String ORDER_FENCED =
            CopyingServer.response("409 Conflict", "{\"result\":\"fenced\",\"presentCount\":2}");

    private static final String APPENDED = CopyingServer.response("200 OK", "{\"offset\":42}");

    /** Guards against a usage report that the platform refused and that counts as reported. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aRefusedUsageReportCountsAsRefused(Moment moment) throws Exception {
        assertThat(wrongResults(
                        moment,
                        USAGE_TAKEN,
                        UNAVAILABLE,
                        PlatformCutOffCopyTest::reportUsage,
                        "status 503: \"not now\""))
                .isEmpty();
    }

    /** Guards against a usage report that the platform took and that counts as refused. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aUsageReportThatWasTakenCountsAsTaken(Moment moment) throws Exception {
        assertThat(wrongResults(moment, UNAVAILABLE, USAGE_TAKEN, PlatformCutOffCopyTest::reportUsage, "null"))
                .isEmpty();
    }

    /** Guards against an order with an old fencing number that counts as carried out. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aFencedOrderCountsAsFenced(Moment moment) throws Exception {
        assertThat(wrongResults(
                        moment,
                        ORDER_TAKEN,
                        ORDER_FENCED,
                        platform -> platform.order(new Order("order", 1, "pool", 3, 0)),
                        "status 409: {\"result\":\"fenced\",\"presentCount\":2}"))
                .isEmpty();
    }

    /** Guards against an entry that the log holds and that counts as refused. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void anAppendedEntryHasItsOffset(Moment moment) throws Exception {
        assertThat(wrongResults(moment, UNAVAILABLE, APPENDED, platform -> platform.append("entry"), "42"))
                .isEmpty();
    }

    /**
     * Returns what calls took wrongly after copies of an earlier response, cut at each byte. A call whose answer a copy
     * joins may fail without an answer.
     */
    private static List<String> wrongResults(
            Moment moment,
            String earlier,
            String answer,
            Function<HttpPlatform, CompletionStage<?>> call,
            String expected)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        try (CopyingServer server = new CopyingServer(moment, earlier, answer)) {
            HttpPlatform platform =
                    new HttpPlatform(server.vertx(), new NetworkAddress("127.0.0.1", server.port()), TIMEOUT_MILLIS);
            do {
                result(call.apply(platform));
                server.writeBetween();
                String result = result(call.apply(platform));
                boolean noAnswer = moment == Moment.WITH_SECOND_ANSWER && isFailureWithoutStatus(result);
                if (!result.equals(expected) && !noAnswer) {
                    wrong.add(server.describe(result));
                }
            } while (server.cutLater());
        }
        return wrong;
    }

    private static CompletionStage<?> reportUsage(HttpPlatform platform) {
        return platform.reportUsage(new UsageReport(1, 1, Map.of()));
    }

    /** Tells whether a call failed without the statement that the platform answered with a status, or with a body. */
    private static boolean isFailureWithoutStatus(String result) {
        return result.startsWith("/");
    }

    /** Returns the result of a call, or the message of its failure. */
    private static String result(CompletionStage<?> call) throws Exception {
        try {
            return String.valueOf(call.toCompletableFuture().get(10, TimeUnit.SECONDS));
        } catch (ExecutionException exception) {
            return exception.getCause().getMessage();
        }
    }
}
