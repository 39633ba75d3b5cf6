package org.cranberrygauge.proxy.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.cranberrygauge.decision.hostload.OtherHosts;
import org.cranberrygauge.proxy.ProxyFixtures;
import org.cranberrygauge.proxy.configuration.ConfigurationView;
import org.cranberrygauge.proxy.configuration.Route;
import org.cranberrygauge.proxy.configuration.RouteKind;
import org.cranberrygauge.proxy.exchange.HeaderCodec.CallerHeaders;
import org.cranberrygauge.proxy.routing.Prompt;
import org.cranberrygauge.proxy.store.Confirmation;
import org.cranberrygauge.runtime.event.Event;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.Test;

/** Guards against shedding requests whose callers could not get them answered elsewhere. */
class LoadSheddingTest {

    private static final Route ROUTE = ProxyFixtures.route(RouteKind.RESUMABLE_STREAM, 2);

    private final ProxyBlackboard blackboard = new ProxyBlackboard();

    private final List<Event> events = new ArrayList<>();

    /** Sheds whenever the share is positive, since the random number is always 0. */
    private final LoadShedding shedding = new LoadShedding(null, new StoppedTime(), blackboard, events::add, () -> 0L);

    private long now;

    @Test
    void onlyARequestThatAnotherHostCanStillAnswerIsShed() {
        overload();
        assertThat(mustShed(headers(2_000, false), Forwarding.NONE)).isTrue();
        assertThat(mustShed(headers(2_000, true), Forwarding.NONE)).isFalse();
        assertThat(mustShed(headers(550, false), Forwarding.NONE)).isFalse();
        Forwarding forwarded = new Forwarding(Optional.of("host-2"), 2_000, 2);
        assertThat(mustShed(headers(2_000, false), forwarded)).isFalse();
    }

    @Test
    void aHostThatHearsNoOthersShedsNothing() {
        overload();
        blackboard.publish(OtherHosts.NONE);
        assertThat(mustShed(headers(2_000, false), Forwarding.NONE)).isFalse();
    }

    @Test
    void theDelayIsPublishedAndOverloadIsLogged() {
        assertThat(blackboard.loopDelay()).isEmpty();
        overload();
        assertThat(blackboard.loopDelay()).hasValue(400);
        assertThat(events)
                .containsExactly(
                        new ExchangeEvents.HostLoadChanged("NORMAL", "BUSY", 253),
                        new ExchangeEvents.HostLoadChanged("BUSY", "OVERLOADED", 397));
    }

    private void overload() {
        blackboard.publish(
                new ConfigurationView(Optional.of(ProxyFixtures.configuration(1, ROUTE)), new Confirmation(0, 0)));
        for (now = 6_000; now < 12_000; now += 450) {
            shedding.record(now, 400);
        }
        blackboard.publish(new OtherHosts(now, 0, List.of(5, 5)));
    }

    private boolean mustShed(CallerHeaders headers, Forwarding forwarding) {
        return shedding.mustShed(now, ROUTE, headers, forwarding);
    }

    private static CallerHeaders headers(long remainingMillis, boolean resumed) {
        return new CallerHeaders(
                Optional.of("request-1"),
                OptionalLong.of(remainingMillis),
                Optional.empty(),
                resumed ? Optional.of("event-7") : Optional.empty(),
                Optional.empty(),
                Prompt.NONE);
    }

    private static final class StoppedTime implements TimeSource {

        @Override
        public long monotonicMillis() {
            return 0;
        }

        @Override
        public long wallMillis() {
            return 0;
        }
    }
}
