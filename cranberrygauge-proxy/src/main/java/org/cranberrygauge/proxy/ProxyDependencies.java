package org.cranberrygauge.proxy;

import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.exchange.HeaderCodec;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.SharedLog;

/**
 * What a process of the proxy is connected to.
 *
 * @param log The shared log.
 * @param configurationTopic The topic with the configuration.
 * @param configurationKey The key under which the configuration is kept.
 * @param configurations Reads configurations.
 * @param hostTopic The topic in which hosts write where they take messages.
 * @param backendTopic The topic with the entries of backend servers.
 * @param backends Reads entries of backend servers.
 * @param duties Takes what one host does for all.
 * @param codec Translates headers.
 */
public record ProxyDependencies(
        SharedLog log,
        String configurationTopic,
        String configurationKey,
        RecordReader<ProxyConfiguration> configurations,
        String hostTopic,
        String backendTopic,
        RecordReader<Backend> backends,
        ControlPlaneClient duties,
        HeaderCodec codec) {}
