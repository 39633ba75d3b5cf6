package org.cranberrygauge.proxy.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.protocol.generated.BackendWork;
import org.cranberrygauge.protocol.generated.HostMessage;
import org.cranberrygauge.protocol.generated.HostReport;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards against truncated reports in large fleets, whose reports exceed the default size of a datagram. */
class HostChannelTest {

    private static final int BACKENDS = 200;

    private static final long LIMIT_SECONDS = 10;

    private static final SharedLog NO_LOG = null;

    private final Vertx vertx = Vertx.vertx();

    private final HostChannel channel = new HostChannel(
            new ControllerContext(
                    vertx, TimeSource.System.INSTANCE, NO_LOG, new ProxyBlackboard(), EventLog.NoOp.INSTANCE),
            new NetworkAddress("127.0.0.1", 0));

    @AfterEach
    void close() {
        vertx.close();
    }

    @Test
    void deliversAReportAboutManyBackendServers() throws Exception {
        Map<String, BackendWork> work = new HashMap<>();
        for (int index = 0; index < BACKENDS; index++) {
            work.put("backend-server-" + index, new BackendWork(1, 1_000, 20_000, 1));
        }
        HostReport report = new HostReport("host-1", 1, 1, work, List.of(), List.of(), "east", true);
        CompletableFuture<HostReport> received = new CompletableFuture<>();
        channel.onMessage(HostMessage._Fields.REPORT, (message, sender) -> received.complete(message.getReport()));
        await(channel.start());
        channel.send(HostMessage.report(report), List.of(new NetworkAddress("127.0.0.1", channel.port())));
        assertThat(received.get(LIMIT_SECONDS, TimeUnit.SECONDS)).isEqualTo(report);
    }

    private static void await(Future<Void> future) throws Exception {
        future.toCompletionStage().toCompletableFuture().get(LIMIT_SECONDS, TimeUnit.SECONDS);
    }
}
