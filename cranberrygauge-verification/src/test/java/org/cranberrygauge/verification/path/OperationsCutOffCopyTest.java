package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.operator.view.OperationsClient;
import org.cranberrygauge.verification.path.CopyingServer.Moment;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against views of gateways that take the status of an earlier response, written once more and cut off (issue 59). */
class OperationsCutOffCopyTest {

    private static final long TIMEOUT_MILLIS = 2_000;

    private static final String STATE = CopyingServer.response("200 OK", "{\"state\":\"live\"}");

    private static final String ERROR = CopyingServer.response("500 Internal Server Error", "{\"error\":\"broke\"}");

    /** Guards against the text of an error that is shown as the state of a gateway. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aGatewayThatAnswersWithAnErrorIsOmitted(Moment moment) throws Exception {
        assertThat(wrongViews(moment, STATE, ERROR, List.of())).isEmpty();
    }

    /** Guards against a gateway that answers and is omitted. */
    @ParameterizedTest
    @EnumSource(Moment.class)
    void aGatewayThatAnswersIsShown(Moment moment) throws Exception {
        assertThat(wrongViews(moment, ERROR, STATE, List.of("{\"state\":\"live\"}")))
                .isEmpty();
    }

    /** Returns the wrong views after copies of an earlier response, cut at each byte. A view that one joins may be omitted. */
    private static List<String> wrongViews(Moment moment, String earlier, String answer, List<String> expected)
            throws Exception {
        List<String> wrong = new ArrayList<>();
        try (CopyingServer server = new CopyingServer(moment, earlier, answer)) {
            NetworkAddress address = new NetworkAddress("127.0.0.1", server.port());
            OperationsClient client = new OperationsClient(server.vertx(), List.of(address), TIMEOUT_MILLIS);
            do {
                client.states();
                server.writeBetween();
                List<String> shown = List.copyOf(client.states().values());
                boolean omitted = moment == Moment.WITH_SECOND_ANSWER && shown.isEmpty();
                if (!shown.equals(expected) && !omitted) {
                    wrong.add(server.describe(shown.toString()));
                }
            } while (server.cutLater());
        }
        return wrong;
    }
}
