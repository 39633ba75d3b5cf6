package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.platform.CloudApiClient;
import org.cranberrygauge.platform.StoreClient;
import org.cranberrygauge.proxy.store.SharedLogException;
import org.cranberrygauge.proxy.store.SharedLogException.Kind;
import org.cranberrygauge.verification.path.CopyingServer.Moment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against calls to the store and the control plane that take the status of an earlier response, cut off (issue 59). */
class ControlPlaneCutOffCopyTest {

    private static final String TAKEN = CopyingServer.response("200 OK", "{}");

    private static final String FENCED = CopyingServer.response("409 Conflict", "\"old token\"");

    private static final String APPENDED = CopyingServer.response("200 OK", "{\"offset\":42}");

    private static final String MOVED = CopyingServer.response("412 Precondition Failed", "{\"offset\":41}");

    /** What a call took if it had no answer. */
    private static final String NO_ANSWER = "NO_ANSWER";

    /** Guards against usage that was never taken and that counts as reported. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aFencedUsageReportCountsAsFenced(Moment moment) throws Exception {
        assertThat(wrongResults(moment, TAKEN, FENCED, ControlPlaneCutOffCopyTest::reportUsage, "FENCED"))
                .isEmpty();
    }

    /** Guards against a leader that gives up its duty since an earlier call was fenced. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aUsageReportThatWasTakenCountsAsTaken(Moment moment) throws Exception {
        assertThat(wrongResults(moment, FENCED, TAKEN, ControlPlaneCutOffCopyTest::reportUsage, "ACCEPTED"))
                .isEmpty();
    }

    /** Guards against a record that the store refused and that counts as written. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aRefusedAppendCountsAsRefused(Moment moment) throws Exception {
        assertThat(wrongResults(moment, APPENDED, MOVED, ControlPlaneCutOffCopyTest::append, Kind.CONFLICT.name()))
                .isEmpty();
    }

    /** Guards against a record that the store holds and that counts as refused. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void anAppendedRecordHasItsOffset(Moment moment) throws Exception {
        assertThat(wrongResults(moment, MOVED, APPENDED, ControlPlaneCutOffCopyTest::append, "42"))
                .isEmpty();
    }

    /**
     * Returns what calls took wrongly after copies of an earlier response, cut at each byte. A call whose answer a copy
     * joins may count as one without an answer.
     */
    private static List<String> wrongResults(
            Moment moment, String earlier, String answer, Function<Clients, Future<?>> call, String expected)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        try (CopyingServer server = new CopyingServer(moment, earlier, answer)) {
            NetworkAddress address = new NetworkAddress("127.0.0.1", server.port());
            Clients clients = new Clients(
                    new CloudApiClient(server.vertx(), address, "host"), new StoreClient(server.vertx(), address));
            do {
                result(call.apply(clients));
                server.writeBetween();
                String result = result(call.apply(clients));
                boolean noAnswer = moment == Moment.WITH_SECOND_ANSWER && result.equals(NO_ANSWER);
                if (!result.equals(expected) && !noAnswer) {
                    wrong.add(server.describe(result));
                }
            } while (server.cutLater());
        }
        return wrong;
    }

    private static Future<?> reportUsage(Clients clients) {
        return clients.controlPlane().reportUsage(1, 1, Map.of());
    }

    private static Future<?> append(Clients clients) {
        return clients.store().append("topic", new byte[] {1}, OptionalLong.of(41));
    }

    /** Returns the result of a call, or the kind of its failure. */
    private static String result(Future<?> call) throws Exception {
        try {
            return String.valueOf(call.toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS));
        } catch (ExecutionException exception) {
            return ((SharedLogException) exception.getCause()).kind().name();
        }
    }

    /** The clients of one address. */
    private record Clients(CloudApiClient controlPlane, StoreClient store) {}
}
