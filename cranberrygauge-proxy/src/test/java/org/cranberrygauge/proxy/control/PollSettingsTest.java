package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against delays of which each is within the bound while their sum is not; the bounds are those of all sheets. */
class PollSettingsTest {

    /** The time that a request may take from the host's last look at the list to the server. */
    private static final long DELIVERY_MILLIS = 100;

    /** The time that an answer of the log may take while nothing fails. */
    private static final long ANSWER_MILLIS = 60;

    /** The maximum random addition to the pause after a read through another host. */
    private static final long RELAYED_JITTER_MILLIS = 100;

    /** The time by which the span that makes a host answerable exceeds the bound, on every sheet. */
    private static final long CONTACT_EXCESS_MILLIS = 1_000;

    /** The shortest outage of the log in which entries of running servers expire, on every sheet. */
    private static final long ENTRY_EXPIRY_MILLIS = 2_400;

    /** The interval between checks of the servers that are retained. */
    private static final long RETENTION_CHECK_MILLIS = 100;

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void anOverdueReadMayGetNoAnswerAndTheNextOneIsStillInTime(long bound) {
        PollSettings settings = PollSettings.ofServers(bound, ENTRY_EXPIRY_MILLIS);
        long answered = settings.overdueMillis() + settings.repeatMillis() + bound / 10;
        assertThat(answered + DELIVERY_MILLIS).isLessThanOrEqualTo(bound);
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void noReadIsOverdueWhileNothingFails(long bound) {
        PollSettings settings = PollSettings.ofServers(bound, ENTRY_EXPIRY_MILLIS);
        long own = settings.pauseMillis() + 2 * settings.waitMillis() + ANSWER_MILLIS;
        assertThat(own).isLessThanOrEqualTo(settings.overdueMillis());
        long queriedWait = settings.waitMillis() / 2;
        long relayed = settings.pauseMillis()
                + 2 * queriedWait
                + settings.relayedIntervalMillis()
                + RELAYED_JITTER_MILLIS
                + ANSWER_MILLIS;
        assertThat(relayed).isLessThanOrEqualTo(settings.overdueMillis());
    }

    /** Guards against an answer of another host that ends an overdue read, and is overdue itself. */
    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void anAnswerOfAnotherHostThatIsUsedIsNotOverdue(long bound) {
        PollSettings servers = PollSettings.ofServers(bound, ENTRY_EXPIRY_MILLIS);
        assertThat(servers.maximumAgeMillis() + ANSWER_MILLIS).isLessThanOrEqualTo(servers.overdueMillis());
        PollSettings configuration = PollSettings.ofConfiguration(bound);
        assertThat(configuration.maximumAgeMillis() + ANSWER_MILLIS).isLessThanOrEqualTo(configuration.overdueMillis());
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void theOnlyHostHasDroppedServersThatWereRemovedMeanwhileWhenItIsAnswerableAgain(long bound) {
        PollSettings settings = PollSettings.ofServers(bound, ENTRY_EXPIRY_MILLIS);
        long dropped = settings.maximumRepeatMillis()
                + RetentionDecision.REGISTRATION_MILLIS
                + RETENTION_CHECK_MILLIS
                + ANSWER_MILLIS
                + DELIVERY_MILLIS;
        assertThat(dropped).isLessThanOrEqualTo(bound + CONTACT_EXCESS_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000, 4_000})
    void aSingleReadWithoutAnAnswerIsNoOutage(long bound) {
        PollSettings settings = PollSettings.ofServers(bound, ENTRY_EXPIRY_MILLIS);
        assertThat(settings.overdueMillis() + ANSWER_MILLIS).isLessThan(ENTRY_EXPIRY_MILLIS);
    }

    @ParameterizedTest
    @ValueSource(longs = {2_000, 3_000})
    void theSameHoldsOfTheConfiguration(long bound) {
        PollSettings settings = PollSettings.ofConfiguration(bound);
        long own = settings.pauseMillis() + 2 * settings.waitMillis() + ANSWER_MILLIS;
        assertThat(own).isLessThanOrEqualTo(settings.overdueMillis());
        long relayed = settings.waitMillis() + settings.relayedIntervalMillis() + RELAYED_JITTER_MILLIS + ANSWER_MILLIS;
        assertThat(relayed).isLessThanOrEqualTo(settings.overdueMillis());
        long answered = settings.overdueMillis() + settings.repeatMillis() + ANSWER_MILLIS;
        assertThat(answered).isLessThanOrEqualTo(bound);
    }
}
