package org.cranberrygauge.proxy.exchange;

import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Another host to which this one can forward requests. Immutable.
 *
 * @param address The address at which it takes forwarded requests.
 * @param dataCentre The data centre in which it runs, whose region decides which requests it may receive.
 */
public record ForwardingTarget(NetworkAddress address, String dataCentre) {}
