package org.cranberrygauge.model.service;

/**
 * A service class with its tier and latency targets.
 *
 * @param name The name, unique in the deployment.
 * @param tier The tier; 0 is the highest.
 * @param guaranteedShare The share of starts, from 0 to 1, that the class gets even while higher tiers are waiting.
 * @param longestWaitMillis The time in the queue after which a request is refused, in milliseconds.
 * @param queueLimit The number of requests that may wait at one gateway.
 */
public record ServiceClass(
        String name,
        int tier,
        double guaranteedShare,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        long longestWaitMillis,
        int queueLimit) {}
