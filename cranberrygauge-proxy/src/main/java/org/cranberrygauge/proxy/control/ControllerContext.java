package org.cranberrygauge.proxy.control;

import io.vertx.core.Vertx;
import org.cranberrygauge.proxy.exchange.ProxyBlackboard;
import org.cranberrygauge.proxy.store.SharedLog;
import org.cranberrygauge.runtime.event.EventLog;
import org.cranberrygauge.runtime.time.TimeSource;

/**
 * What all controllers use.
 *
 * @param blackboard The host state that controllers publish to the request path.
 */
public record ControllerContext(
        Vertx vertx, TimeSource time, SharedLog log, ProxyBlackboard blackboard, EventLog events) {}
