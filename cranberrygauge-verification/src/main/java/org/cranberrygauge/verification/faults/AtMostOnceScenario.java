package org.cranberrygauge.verification.faults;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.decision.reservation.ReservationDecision;
import org.cranberrygauge.decision.state.ApplyResult;
import org.cranberrygauge.model.record.LogRecord.Disposition;
import org.cranberrygauge.model.record.LogRecord.Reservation;
import org.cranberrygauge.model.record.LogRecord.ReservationOutcome;
import org.cranberrygauge.model.record.LogRecord.ReservationRelease;

/**
 * A caller books once with an idempotency key, and retries, also at another gateway, until it has an answer.
 *
 * <p>A request to the ledger is one exchange on a connection, which no network delivers twice; only the caller's
 * request can be duplicated. The ledger counts executions. Not thread-safe.
 */
final class AtMostOnceScenario implements Scenario {

    private static final long RUN_MILLIS = 60_000;

    /** The time after which the caller retries an unanswered request. */
    private static final long CALLER_TIMEOUT_MILLIS = 5_000;

    /** The time after which a gateway abandons a reservation that it has not read back. */
    private static final long RESERVATION_TIMEOUT_MILLIS = 2_000;

    private static final long LEDGER_TIMEOUT_MILLIS = 3_000;

    /** The time between an inconclusive answer and the caller's next attempt. */
    private static final long CALLER_RETRY_MILLIS = 1_000;

    private static final int MAXIMUM_ATTEMPTS = 10;

    /** The answer that belongs to another call. */
    private static final String MISDELIVERED_ANSWER = "another call";

    /** The result of a call to a ledger server that accepts no connection. */
    private static final String NO_CONNECTION = "no connection";

    private final List<Gateway> gateways = new ArrayList<>();

    /** The executions by attempt, as counted by the ledger. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The attempts whose refusal stated that the call was not run. */
    private final List<String> refusedAsNotRun = new ArrayList<>();

    private SimulationContext context;

    private int attempts;

    /** The number of attempts that were refused or whose outcome was reported as unknown. */
    private int refused;

    private String answer;

    /** The time of the answer; the end of the run if there was none. */
    private long answeredAtMillis = RUN_MILLIS;

    private long firstAttemptMillis;

    /** Whether the first ledger server is evicted. */
    private boolean evicted;

    @Override
    public List<Step> steps() {
        return List.of(Step.RESERVE, Step.DISPATCH, Step.FIRST_BYTE, Step.LAST_BYTE, Step.RECORD);
    }

    @Override
    public List<Finding> run(SimulationContext runContext) {
        context = runContext;
        gateways.add(new Gateway("gateway-0"));
        gateways.add(new Gateway("gateway-1"));
        SimulatedProcess operator = context.process("operator");
        LogClient operatorLog = new LogClient(context, operator, applied -> {});
        context.onFaults(
                () -> evicted = true,
                () -> operatorLog.append(new ReservationRelease("attempt-1", "operator")),
                process -> gateways.forEach(gateway -> gateway.misdeliverNext |= gateway.process == process));
        context.scheduler().after(CALLER_RETRY_MILLIS, this::attempt);
        context.scheduler().runUntil(RUN_MILLIS);
        int executed = executions();
        boolean ranAfterRefusal = refusedAsNotRun.stream().anyMatch(executions::containsKey);
        boolean unanswered = answer == null;
        return List.of(
                Finding.of(
                        Invariant.AT_MOST_ONCE,
                        executed > 1,
                        unanswered,
                        "executions " + executed + ", answer " + answer),
                Finding.of(
                        Invariant.NOT_RUN_IS_TRUE,
                        ranAfterRefusal,
                        false,
                        "refused as not run " + refusedAsNotRun + ", ran " + executions),
                Finding.of(Invariant.OWN_ANSWER, MISDELIVERED_ANSWER.equals(answer), unanswered, "answer " + answer));
    }

    int executions() {
        return executions.values().stream().mapToInt(Integer::intValue).sum();
    }

    /** Returns the number of attempts that were refused or whose outcome was reported as unknown. */
    int refused() {
        return refused;
    }

    boolean isAnswered() {
        return answer != null;
    }

    /** Returns the time from the first attempt to the answer, in milliseconds. */
    long answerMillis() {
        return answeredAtMillis - firstAttemptMillis;
    }

    /** Sends the call: twice to each gateway in turn, and to the other one if it accepts no connection. */
    private void attempt() {
        if (answer != null || attempts == MAXIMUM_ATTEMPTS) {
            return;
        }
        attempts++;
        firstAttemptMillis = attempts == 1 ? context.now() : firstAttemptMillis;
        int number = attempts;
        Gateway preferred = gateways.get((number - 1) / 2 % gateways.size());
        Gateway gateway = preferred.process.answers() ? preferred : gateways.get(1 - gateways.indexOf(preferred));
        if (gateway.process.answers()) {
            gateway.process.run(1, () -> gateway.receive("attempt-" + number));
        }
        context.scheduler().after(CALLER_TIMEOUT_MILLIS, () -> {
            if (attempts == number) {
                attempt();
            }
        });
    }

    /** Handles a reply at the caller; the result is null for a refusal. */
    private void onReply(String attempt, String result, boolean notRun) {
        context.scheduler().trace("caller: " + attempt + " got " + result + (notRun ? ", not run" : ""));
        if (result != null) {
            answeredAtMillis = answer == null ? context.now() : answeredAtMillis;
            answer = result;
            return;
        }
        refused++;
        if (notRun) {
            refusedAsNotRun.add(attempt);
        }
        if (attempt.equals("attempt-" + attempts)) {
            int number = attempts;
            context.scheduler().after(CALLER_RETRY_MILLIS, () -> {
                if (attempts == number) {
                    attempt();
                }
            });
        }
    }

    /** Executes a call on the ledger and returns its answer. */
    private String execute(String attempt) {
        if (evicted && attempt.equals("attempt-1")) {
            return NO_CONNECTION;
        }
        executions.merge(attempt, 1, Integer::sum);
        context.scheduler().trace("ledger runs " + attempt);
        return attempt;
    }

    /** A simulated gateway, which reserves calls in the log, dispatches them and records their outcomes. */
    private final class Gateway {

        private final SimulatedProcess process;

        private final LogClient log;

        /** The attempts whose reservation has not been read back, by reservation identifier. */
        private final Map<String, Boolean> unconfirmedReservations = new HashMap<>();

        /** The answers by idempotency key where only the gateway remembers them; empty while in progress. */
        private final Map<String, String> rememberedAnswers = new HashMap<>();

        /** Whether the next answer from the ledger is one that belongs to another call. */
        private boolean misdeliverNext;

        private Gateway(String name) {
            process = context.process(name);
            log = new LogClient(context, process, this::onApplied);
        }

        private void receive(String attempt) {
            if (!context.isEnabled(Mechanism.RESERVATION)) {
                receiveWithoutReservation(attempt);
                return;
            }
            log.state()
                    .reservations()
                    .lookup("customer", "/bookings", "key", "body")
                    .ifPresentOrElse(remembered -> onDecision(attempt, remembered), () -> reserve(attempt));
        }

        /** Handles a call without a reservation in the log. */
        private void receiveWithoutReservation(String attempt) {
            if (!context.isEnabled(Mechanism.GATEWAY_MEMORY)) {
                context.step(process, Step.RESERVE, () -> dispatch(attempt));
                return;
            }
            String remembered = rememberedAnswers.putIfAbsent("key", "");
            if (remembered == null) {
                context.step(process, Step.RESERVE, () -> dispatch(attempt));
            } else {
                reply(attempt, remembered.isEmpty() ? null : remembered, false);
            }
        }

        private void reserve(String attempt) {
            context.step(process, Step.RESERVE, () -> {
                unconfirmedReservations.put(attempt, true);
                log.append(new Reservation(attempt, "customer", "/bookings", "key", "body", process.name(), 0));
                process.run(RESERVATION_TIMEOUT_MILLIS, () -> expireReservation(attempt));
            });
        }

        /** Abandons a reservation that was not read back in time. */
        private void expireReservation(String attempt) {
            if (unconfirmedReservations.remove(attempt) != null) {
                record(attempt, Disposition.NOT_RUN);
                reply(attempt, null, true);
            }
        }

        /** Handles the result of applying a log record. */
        private void onApplied(ApplyResult applied) {
            if (applied instanceof ApplyResult.ReservationResult result
                    && unconfirmedReservations.remove(result.reservationId()) != null) {
                onDecision(result.reservationId(), result.decision());
            }
        }

        /** Dispatches the call, repeats its recorded answer or refuses it. */
        private void onDecision(String attempt, ReservationDecision decision) {
            if (decision == ReservationDecision.Won.INSTANCE) {
                dispatch(attempt);
            } else if (decision instanceof ReservationDecision.Answered answered) {
                reply(attempt, answered.outcome().body(), false);
            } else {
                reply(attempt, null, false);
            }
        }

        private void dispatch(String attempt) {
            context.step(process, Step.DISPATCH, () -> {
                while (process.consumeDuplicate()) {
                    context.scheduler().after(1, AtMostOnceScenario.this::attempt);
                }
                context.call(
                        process,
                        () -> execute(attempt),
                        result -> onLedgerAnswer(attempt, result),
                        () -> completeAsUnknown(attempt),
                        LEDGER_TIMEOUT_MILLIS);
            });
        }

        private void onLedgerAnswer(String attempt, String result) {
            if (result.equals(NO_CONNECTION)) {
                rememberedAnswers.remove("key");
                record(attempt, Disposition.NOT_RUN);
                reply(attempt, null, true);
                return;
            }
            context.step(
                    process,
                    Step.FIRST_BYTE,
                    () -> process.run(
                            1,
                            () -> context.step(
                                    process,
                                    Step.LAST_BYTE,
                                    () -> complete(attempt, misdeliverNext ? MISDELIVERED_ANSWER : result))));
        }

        /** Records the answer and sends it to the caller. */
        private void complete(String attempt, String result) {
            misdeliverNext = false;
            if (context.isEnabled(Mechanism.ATTEMPT_CHECK) && !result.equals(attempt)) {
                completeAsUnknown(attempt);
                return;
            }
            rememberedAnswers.put("key", result);
            context.step(process, Step.RECORD, () -> {
                if (context.isEnabled(Mechanism.RESERVATION)) {
                    log.append(new ReservationOutcome(attempt, Disposition.ANSWERED, 200, "text/plain", result, true));
                }
                reply(attempt, result, false);
            });
        }

        private void completeAsUnknown(String attempt) {
            record(attempt, Disposition.UNKNOWN);
            reply(attempt, null, false);
        }

        private void record(String attempt, Disposition disposition) {
            if (context.isEnabled(Mechanism.RESERVATION)) {
                log.append(new ReservationOutcome(attempt, disposition, 0, "", "", false));
            }
        }

        /** Replies to the caller if it can be reached; the result is null for a refusal. */
        private void reply(String attempt, String result, boolean notRun) {
            if (process.answers()) {
                context.scheduler().after(1, () -> onReply(attempt, result, notRun));
            }
        }
    }
}
