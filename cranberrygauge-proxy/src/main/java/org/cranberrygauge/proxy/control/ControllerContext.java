package org.cranberrygauge.proxy.control;

import io.vertx.core.Vertx;
import org.cranberrygauge.proxy.exchange.ProxyState;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What each controller needs.
 *
 * @param vertx The Vert.x instance.
 * @param time The clocks.
 * @param log The shared log.
 * @param board What the host believes.
 * @param events The event log.
 */
public record ControllerContext(Vertx vertx, TimeSource time, SharedLog log, ProxyState board, EventLog events) {}
