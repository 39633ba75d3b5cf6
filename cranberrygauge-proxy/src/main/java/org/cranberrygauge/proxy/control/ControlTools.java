package org.cranberrygauge.proxy.control;

import io.vertx.core.Vertx;
import org.cranberrygauge.proxy.exchange.ProxyBoard;
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
public record ControlTools(Vertx vertx, TimeSource time, SharedLog log, ProxyBoard board, EventLog events) {}
