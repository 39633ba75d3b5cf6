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
 * A caller books once, with an idempotency key, and asks again, also at another gateway, whenever it has no answer.
 *
 * <p>A message to the ledger is one exchange on a connection, which no network delivers twice; what comes twice is the call
 * of the caller. Executions are counted by the ledger. Used by one thread.
 */
final class AtMostOnceScenario implements Scenario {

    /** The length of a run in milliseconds. */
    private static final long RUN_MILLIS = 60_000;

    /** The time after which the caller asks again in milliseconds. */
    private static final long CALLER_MILLIS = 5_000;

    /** The time after which a gateway gives a reservation up in milliseconds. */
    private static final long RESERVATION_MILLIS = 2_000;

    /** The time after which a gateway gives the ledger up in milliseconds. */
    private static final long LEDGER_MILLIS = 3_000;

    /** The time between an answer that settles nothing and the next attempt in milliseconds. */
    private static final long AGAIN_MILLIS = 1_000;

    /** The highest number of attempts. */
    private static final int ATTEMPTS = 10;

    /** The answer that belongs to another call. */
    private static final String OTHERS_ANSWER = "another call";

    /** The answer of a ledger server that takes no connection. */
    private static final String NO_CONNECTION = "no connection";

    /** The gateways. */
    private final List<Gateway> gateways = new ArrayList<>();

    /** The executions by attempt, as counted by the ledger. */
    private final Map<String, Integer> executions = new HashMap<>();

    /** The attempts that were told that they did not run. */
    private final List<String> toldNotRun = new ArrayList<>();

    /** The world. */
    private SimulationContext world;

    /** The number of attempts so far. */
    private int attempts;

    /** The number of attempts that were refused or told that the outcome is unknown. */
    private int refused;

    /** The answer that the caller got, or null. */
    private String answer;

    /** The time at which the caller got it in milliseconds. */
    private long answeredAtMillis = RUN_MILLIS;

    /** The time of the first attempt in milliseconds. */
    private long firstAttemptMillis;

    /** Whether the first ledger server is gone. */
    private boolean evicted;

    @Override
    public List<Step> steps() {
        return List.of(Step.RESERVE, Step.DISPATCH, Step.FIRST_BYTE, Step.LAST_BYTE, Step.RECORD);
    }

    @Override
    public List<Finding> run(SimulationContext present) {
        world = present;
        gateways.add(new Gateway("gateway-0"));
        gateways.add(new Gateway("gateway-1"));
        SimulatedProcess operator = world.process("operator");
        LogClient operatorLog = new LogClient(world, operator, effect -> {});
        world.onFaults(
                () -> evicted = true,
                () -> operatorLog.append(new ReservationRelease("attempt-1", "operator")),
                process -> gateways.forEach(gateway -> gateway.crossed |= gateway.process == process));
        world.timeline().after(AGAIN_MILLIS, this::attempt);
        world.timeline().runUntil(RUN_MILLIS);
        int runs = executions();
        boolean lied = toldNotRun.stream().anyMatch(executions::containsKey);
        boolean unanswered = answer == null;
        return List.of(
                Finding.of(Invariant.AT_MOST_ONCE, runs > 1, unanswered, "executions " + runs + ", answer " + answer),
                Finding.of(
                        Invariant.NOT_RUN_IS_TRUE, lied, false, "told not run " + toldNotRun + ", ran " + executions),
                Finding.of(Invariant.OWN_ANSWER, OTHERS_ANSWER.equals(answer), unanswered, "answer " + answer));
    }

    /**
     * Returns the number of executions.
     *
     * @return The number.
     */
    int executions() {
        return executions.values().stream().mapToInt(Integer::intValue).sum();
    }

    /**
     * Returns the number of attempts that were refused or told that the outcome is unknown.
     *
     * @return The number.
     */
    int refused() {
        return refused;
    }

    /**
     * Tells whether the caller got an answer.
     *
     * @return Whether it did.
     */
    boolean isAnswered() {
        return answer != null;
    }

    /**
     * Returns the time from the first attempt to the answer.
     *
     * @return The time in milliseconds.
     */
    long answerMillis() {
        return answeredAtMillis - firstAttemptMillis;
    }

    /** Sends the call: twice to one gateway, then to the other, and past one that takes no connection. */
    private void attempt() {
        if (answer != null || attempts == ATTEMPTS) {
            return;
        }
        attempts++;
        firstAttemptMillis = attempts == 1 ? world.now() : firstAttemptMillis;
        int number = attempts;
        Gateway preferred = gateways.get((number - 1) / 2 % gateways.size());
        Gateway gateway = preferred.process.answers() ? preferred : gateways.get(1 - gateways.indexOf(preferred));
        if (gateway.process.answers()) {
            gateway.process.run(1, () -> gateway.receive("attempt-" + number));
        }
        world.timeline().after(CALLER_MILLIS, () -> {
            if (attempts == number) {
                attempt();
            }
        });
    }

    /**
     * Takes an answer at the caller.
     *
     * @param attempt The attempt.
     * @param result The answer, or null for a refusal.
     * @param notRun Whether the refusal says that the call was not run.
     */
    private void take(String attempt, String result, boolean notRun) {
        world.timeline().note("caller: " + attempt + " got " + result + (notRun ? ", not run" : ""));
        if (result != null) {
            answeredAtMillis = answer == null ? world.now() : answeredAtMillis;
            answer = result;
            return;
        }
        refused++;
        if (notRun) {
            toldNotRun.add(attempt);
        }
        if (attempt.equals("attempt-" + attempts)) {
            int number = attempts;
            world.timeline().after(AGAIN_MILLIS, () -> {
                if (attempts == number) {
                    attempt();
                }
            });
        }
    }

    /**
     * Runs a call on the ledger.
     *
     * @param attempt The attempt.
     * @return The answer.
     */
    private String execute(String attempt) {
        if (evicted && attempt.equals("attempt-1")) {
            return NO_CONNECTION;
        }
        executions.merge(attempt, 1, Integer::sum);
        world.timeline().note("ledger runs " + attempt);
        return attempt;
    }

    /** One gateway. */
    private final class Gateway {

        /** The process. */
        private final SimulatedProcess process;

        /** The log. */
        private final LogClient log;

        /** The attempts whose reservation was not read back, by identifier of the reservation. */
        private final Map<String, Boolean> waiting = new HashMap<>();

        /** The outcome of the call if only the gateway remembers, by key. */
        private final Map<String, String> memory = new HashMap<>();

        /** Whether the next answer belongs to another call. */
        private boolean crossed;

        /**
         * Creates a gateway.
         *
         * @param name The name.
         */
        private Gateway(String name) {
            process = world.process(name);
            log = new LogClient(world, process, this::onEffect);
        }

        /**
         * Takes a call.
         *
         * @param attempt The attempt.
         */
        private void receive(String attempt) {
            if (!world.on(Mechanism.RESERVATION)) {
                receiveUnreserved(attempt);
                return;
            }
            log.state()
                    .reservations()
                    .lookup("customer", "/bookings", "key", "body")
                    .ifPresentOrElse(known -> judged(attempt, known), () -> reserve(attempt));
        }

        /**
         * Takes a call without a reservation.
         *
         * @param attempt The attempt.
         */
        private void receiveUnreserved(String attempt) {
            if (!world.on(Mechanism.GATEWAY_MEMORY)) {
                world.step(process, Step.RESERVE, () -> dispatch(attempt));
                return;
            }
            String known = memory.putIfAbsent("key", "");
            if (known == null) {
                world.step(process, Step.RESERVE, () -> dispatch(attempt));
            } else {
                reply(attempt, known.isEmpty() ? null : known, false);
            }
        }

        /**
         * Reserves a call.
         *
         * @param attempt The attempt.
         */
        private void reserve(String attempt) {
            world.step(process, Step.RESERVE, () -> {
                waiting.put(attempt, true);
                log.append(new Reservation(attempt, "customer", "/bookings", "key", "body", process.name(), 0));
                process.run(RESERVATION_MILLIS, () -> giveUp(attempt));
            });
        }

        /**
         * Gives up a reservation that was not read back in time.
         *
         * @param attempt The attempt.
         */
        private void giveUp(String attempt) {
            if (waiting.remove(attempt) != null) {
                record(attempt, Disposition.NOT_RUN);
                reply(attempt, null, true);
            }
        }

        /**
         * Takes what became of a record.
         *
         * @param effect The effect.
         */
        private void onEffect(ApplyResult effect) {
            if (effect instanceof ApplyResult.ReservationResult judged
                    && waiting.remove(judged.reservationId()) != null) {
                judged(judged.reservationId(), judged.verdict());
            }
        }

        /**
         * Acts on a verdict.
         *
         * @param attempt The attempt.
         * @param verdict The verdict.
         */
        private void judged(String attempt, ReservationDecision verdict) {
            if (verdict == ReservationDecision.Won.INSTANCE) {
                dispatch(attempt);
            } else if (verdict instanceof ReservationDecision.Answered answered) {
                reply(attempt, answered.outcome().body(), false);
            } else {
                reply(attempt, null, false);
            }
        }

        /**
         * Sends a call to the ledger.
         *
         * @param attempt The attempt.
         */
        private void dispatch(String attempt) {
            world.step(process, Step.DISPATCH, () -> {
                while (process.takesDouble()) {
                    world.timeline().after(1, AtMostOnceScenario.this::attempt);
                }
                world.call(
                        process,
                        () -> execute(attempt),
                        result -> answered(attempt, result),
                        () -> unknown(attempt),
                        LEDGER_MILLIS);
            });
        }

        /**
         * Takes the answer of the ledger.
         *
         * @param attempt The attempt.
         * @param result The answer.
         */
        private void answered(String attempt, String result) {
            if (result.equals(NO_CONNECTION)) {
                memory.remove("key");
                record(attempt, Disposition.NOT_RUN);
                reply(attempt, null, true);
                return;
            }
            world.step(
                    process,
                    Step.FIRST_BYTE,
                    () -> process.run(
                            1,
                            () -> world.step(
                                    process,
                                    Step.LAST_BYTE,
                                    () -> complete(attempt, crossed ? OTHERS_ANSWER : result))));
        }

        /**
         * Completes a call.
         *
         * @param attempt The attempt.
         * @param result The answer.
         */
        private void complete(String attempt, String result) {
            crossed = false;
            if (world.on(Mechanism.ATTEMPT_CHECK) && !result.equals(attempt)) {
                unknown(attempt);
                return;
            }
            memory.put("key", result);
            world.step(process, Step.RECORD, () -> {
                if (world.on(Mechanism.RESERVATION)) {
                    log.append(new ReservationOutcome(attempt, Disposition.ANSWERED, 200, "text/plain", result, true));
                }
                reply(attempt, result, false);
            });
        }

        /**
         * Ends a call whose outcome is unknown.
         *
         * @param attempt The attempt.
         */
        private void unknown(String attempt) {
            record(attempt, Disposition.UNKNOWN);
            reply(attempt, null, false);
        }

        /**
         * Records an outcome without an answer.
         *
         * @param attempt The attempt.
         * @param disposition The outcome.
         */
        private void record(String attempt, Disposition disposition) {
            if (world.on(Mechanism.RESERVATION)) {
                log.append(new ReservationOutcome(attempt, disposition, 0, "", "", false));
            }
        }

        /**
         * Answers the caller, if it can be reached.
         *
         * @param attempt The attempt.
         * @param result The answer, or null for a refusal.
         * @param notRun Whether the refusal says that the call was not run.
         */
        private void reply(String attempt, String result, boolean notRun) {
            if (process.answers()) {
                world.timeline().after(1, () -> take(attempt, result, notRun));
            }
        }
    }
}
