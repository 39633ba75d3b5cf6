package org.cranberrygauge.proxy;

import org.cranberrygauge.proxy.backend.Backend;
import org.cranberrygauge.proxy.configuration.ProxyConfiguration;
import org.cranberrygauge.proxy.exchange.HeaderCodec;
import org.cranberrygauge.proxy.leader.ControlPlaneClient;
import org.cranberrygauge.proxy.store.RecordReader;
import org.cranberrygauge.proxy.store.SharedLog;

/**
 * The external systems of a proxy process and the codecs for their data.
 *
 * @param configurationKey The key under which the configuration is stored.
 * @param evacuationKeyPrefix The start of the keys in the same topic under which evacuated data centres are stored; the
 *     name of the data centre follows.
 * @param hostTopic The topic in which hosts publish their addresses.
 * @param backendTopic The topic in which backend servers register.
 * @param originTopic The topic in which hosts store at which versions of backend servers streams may have begun.
 * @param crashTopic The topic in which hosts store the crashes for which parts of prompts are blocked.
 * @param decidedUsageTopic The topic in which the leader stores the decided figures of usage windows.
 * @param controlPlane The control-plane calls of the leader.
 */
public record ProxyDependencies(
        SharedLog log,
        String configurationTopic,
        String configurationKey,
        String evacuationKeyPrefix,
        RecordReader<ProxyConfiguration> configurations,
        String hostTopic,
        String backendTopic,
        RecordReader<Backend> backends,
        String originTopic,
        String crashTopic,
        String decidedUsageTopic,
        ControlPlaneClient controlPlane,
        HeaderCodec codec) {}
