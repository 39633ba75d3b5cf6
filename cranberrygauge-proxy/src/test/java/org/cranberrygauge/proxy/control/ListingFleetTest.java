package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against hosts that go on sending requests to servers that have left for longer than the drain bound (incident
 * DRAIN), and against hosts that drop running servers since the store was away. The bounds are those of all sheets.
 */
class ListingFleetTest {

    private static final int HOSTS = 6;

    private static final int SEEDS = Integer.getInteger("cranberrygauge.seeds", 12);

    private static final int SERVERS = 30;

    /** The time after which all hosts have read the first list and heard each other. */
    private static final long START_MILLIS = 3_000;

    /** The interval between servers that leave or are removed. */
    private static final long LEAVING_INTERVAL_MILLIS = 400;

    /** The time after a fault in which what follows from it is over. */
    private static final long AFTERMATH_MILLIS = 12_000;

    /** The time after its return within which servers register again at a store that was away. */
    private static final long REGISTRATION_MILLIS = 1_900;

    /** The time that an answer of the store may take while it is not busy. */
    private static final long ANSWER_MILLIS = 60;

    private static final long MINIMUM_FAULT_MILLIS = 300;

    private static final long MAXIMUM_FAULT_MILLIS = 9_000;

    /** The maximum time that a call of the store takes each way while it is busy. */
    private static final int BUSY_CALL_MILLIS = 60;

    /** Guards against removed servers that a host keeps for the time of an outage that it alone had. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aHostThatWasCutOffAloneKeepsNoServerThatHasLeft(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            leaveOneAfterTheOther(fleet);
            any(fleet).cutOff(faultMillis(fleet));
            fleet.advance(SERVERS * LEAVING_INTERVAL_MILLIS + AFTERMATH_MILLIS);
        });
    }

    /** Guards against the same with hosts whose calls the store rejects, or leaves unanswered. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aHostThatTheStoreTurnsAwayAloneKeepsNoServerThatHasLeft(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            leaveOneAfterTheOther(fleet);
            any(fleet).turnAway(faultMillis(fleet), fleet.random().nextBoolean());
            fleet.advance(SERVERS * LEAVING_INTERVAL_MILLIS + AFTERMATH_MILLIS);
        });
    }

    /** Guards against a host without others, which can't tell whether the store was away. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void theOnlyHostKeepsNoServerThatHasLeftAfterItWasCutOff(long drainBoundMillis) {
        forSeeds(drainBoundMillis, 1, fleet -> {
            leaveOneAfterTheOther(fleet);
            any(fleet).cutOff(faultMillis(fleet));
            fleet.advance(SERVERS * LEAVING_INTERVAL_MILLIS + AFTERMATH_MILLIS);
        });
    }

    /** Guards against delays that add up to more than the bound where each by itself is within it. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void noServerThatHasLeftIsKeptThoughReadsAreLostOrLate(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            fleet.store().maximumCallMillis = BUSY_CALL_MILLIS;
            fleet.hosts().forEach(host -> host.log().lossIntervalMillis = drainBoundMillis);
            leaveOneAfterTheOther(fleet);
            fleet.advance(SERVERS * LEAVING_INTERVAL_MILLIS + AFTERMATH_MILLIS);
        });
    }

    /** Guards against an older answer of another host that takes the place of what the store answers meanwhile. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aHostThatTheStoreAnswersWaitsForNoHostThatTheStoreDoesNotAnswer(long drainBoundMillis) {
        long latestMillis = PollSettings.ofServers(drainBoundMillis, ListingFleet.ENTRY_EXPIRY_MILLIS)
                        .overdueMillis()
                + ANSWER_MILLIS;
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            ListingFleet.Host turnedAway = any(fleet);
            turnedAway.turnAway(AFTERMATH_MILLIS, true);
            while (fleet.now() < turnedAway.faultEndMillis()) {
                fleet.advance(1);
                fleet.hosts().stream()
                        .filter(host -> host != turnedAway)
                        .forEach(host -> assertThat(host.listAgeMillis()).isLessThanOrEqualTo(latestMillis));
            }
        });
    }

    /** Guards against ordinary pauses between reads that are taken for an outage. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void noServerThatHasLeftIsKeptByHostsWithoutFaults(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            leaveOneAfterTheOther(fleet);
            fleet.advance(SERVERS * LEAVING_INTERVAL_MILLIS + AFTERMATH_MILLIS);
        });
    }

    /** Guards against hosts that wait too long for the one that reads for them. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void noServerThatHasLeftIsKeptWhileHostsRestartInTurn(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            leaveOneAfterTheOther(fleet);
            for (int host = 0; host < HOSTS; host++) {
                fleet.hosts().get(host).restart(1_500);
                fleet.advance(2_500);
            }
            fleet.advance(AFTERMATH_MILLIS);
        });
    }

    /** Guards against all of it at once. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void noServerThatHasLeftIsKeptInAnySeriesOfFaults(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            leaveOneAfterTheOther(fleet);
            for (int fault = 0; fault < 8; fault++) {
                harm(fleet);
                fleet.advance(fleet.random().nextInt(2_500));
            }
            fleet.advance(AFTERMATH_MILLIS);
        });
    }

    /** Guards against pools that run empty since the entries of running servers expired with the store. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aStoreThatWasAwayForAllHostsCostsNoRunningServer(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            long away = 2_500 + fleet.random().nextInt(6_000);
            fleet.storeAway(away);
            fleet.after(away, () -> expireAndRegisterAll(fleet));
            fleet.advance(away + AFTERMATH_MILLIS);
        });
    }

    /** Guards against the same where a host returns from a cut of its own just then. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aHostThatWasCutOffWhileTheStoreWasAwayForAllKeepsTheRunningServers(long drainBoundMillis) {
        forSeeds(drainBoundMillis, HOSTS, fleet -> {
            long away = 2_500 + fleet.random().nextInt(3_000);
            any(fleet).cutOff(away + fleet.random().nextInt(1_500));
            fleet.storeAway(away);
            fleet.after(away, () -> expireAndRegisterAll(fleet));
            fleet.advance(away + AFTERMATH_MILLIS);
        });
    }

    @Test
    void aHostThatCanNotReadGoesOnWithTheServersThatItKnows() {
        forSeeds(3_000, HOSTS, fleet -> {
            any(fleet).cutOff(AFTERMATH_MILLIS);
            fleet.advance(2 * AFTERMATH_MILLIS);
        });
    }

    private static void forSeeds(long drainBoundMillis, int hosts, Consumer<ListingFleet> scenario) {
        for (int seed = 1; seed <= SEEDS; seed++) {
            ListingFleet fleet = new ListingFleet(hosts, drainBoundMillis, seed);
            for (int server = 0; server < SERVERS; server++) {
                fleet.list("server-" + server);
                fleet.list("staying-" + server);
            }
            fleet.advance(START_MILLIS);
            scenario.accept(fleet);
            assertThat(fleet.faults()).as("seed %d", seed).isEmpty();
        }
    }

    /** Lets servers leave, or be removed without a word, one after the other. */
    private static void leaveOneAfterTheOther(ListingFleet fleet) {
        for (int server = 0; server < SERVERS; server++) {
            String name = "server-" + server;
            boolean states = fleet.random().nextBoolean();
            long at = 1 + server * LEAVING_INTERVAL_MILLIS + fleet.random().nextInt((int) LEAVING_INTERVAL_MILLIS);
            fleet.after(at, () -> {
                if (states) {
                    fleet.leave(name);
                } else {
                    fleet.remove(name);
                }
            });
        }
    }

    /** Lets the entries of all servers expire, and the servers register again. */
    private static void expireAndRegisterAll(ListingFleet fleet) {
        for (int server = 0; server < SERVERS; server++) {
            for (String name : new String[] {"server-" + server, "staying-" + server}) {
                fleet.expire(name);
                fleet.after(1 + fleet.random().nextInt((int) REGISTRATION_MILLIS), () -> fleet.listAgain(name));
            }
        }
    }

    private static void harm(ListingFleet fleet) {
        ListingFleet.Host host = any(fleet);
        switch (fleet.random().nextInt(3)) {
            case 0 -> host.cutOff(faultMillis(fleet));
            case 1 -> host.turnAway(faultMillis(fleet), fleet.random().nextBoolean());
            default -> host.restart(MINIMUM_FAULT_MILLIS);
        }
    }

    private static ListingFleet.Host any(ListingFleet fleet) {
        return fleet.hosts().get(fleet.random().nextInt(fleet.hosts().size()));
    }

    private static long faultMillis(ListingFleet fleet) {
        return MINIMUM_FAULT_MILLIS + fleet.random().nextInt((int) (MAXIMUM_FAULT_MILLIS - MINIMUM_FAULT_MILLIS));
    }
}
