package org.cranberrygauge.gateway.reservation;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.reservation.Reservations;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ReservationManagerTest {

    private static final Reservation FIRST = reservation("r-1");

    private final Vertx vertx = Vertx.vertx();

    private final Reservations reservations = new Reservations();

    private final ReservationManager manager =
            new ReservationManager(vertx, record -> Future.succeededFuture(1L), reservations, 60_000);

    @AfterEach
    void stop() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    @Test
    void doesNotReportACallThatEndedHereAsRunningBeforeItsOutcomeIsReadBack() throws Exception {
        reservations.reserve(1, 0, FIRST);
        assertThat(reserveAgain()).isEqualTo(ReservationDecision.Running.INSTANCE);

        manager.record(new ReservationOutcome("r-1", Disposition.UNKNOWN, 0, "", "", false));

        assertThat(reserveAgain()).isEqualTo(ReservationDecision.Unknown.INSTANCE);
    }

    @Test
    void replaysAnAnswerOfThisGatewayBeforeItIsReadBack() throws Exception {
        reservations.reserve(1, 0, FIRST);
        ReservationOutcome outcome = new ReservationOutcome("r-1", Disposition.ANSWERED, 200, "text", "body", true);

        manager.record(outcome);

        assertThat(reserveAgain()).isEqualTo(new ReservationDecision.Answered(outcome));
    }

    @Test
    void rejectsAKeyThatIsReusedWithAnotherBody() throws Exception {
        reservations.reserve(1, 0, FIRST);
        manager.record(new ReservationOutcome("r-1", Disposition.UNKNOWN, 0, "", "", false));
        Reservation other = new Reservation("r-3", "customer", "/route/", "key", "other", "gateway", 0);
        assertThat(manager.reserve(other)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(10, TimeUnit.SECONDS))
                .isEqualTo(ReservationDecision.OtherBody.INSTANCE);
    }

    private ReservationDecision reserveAgain() throws Exception {
        return manager.reserve(reservation("r-2"))
                .toCompletionStage()
                .toCompletableFuture()
                .get(10, TimeUnit.SECONDS);
    }

    private static Reservation reservation(String id) {
        return new Reservation(id, "customer", "/route/", "key", "digest", "gateway", 0);
    }
}
