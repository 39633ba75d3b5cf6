package org.cranberrygauge.model.service;

/**
 * A service class with its tier and targets.
 *
 * @param name The name, unique in the deployment.
 * @param tier The tier; 0 is the highest.
 * @param guaranteedShare The share of starts from 0 to 1 that the class gets even when higher tiers wait.
 * @param firstTokenTargetMillis The target for the time to the first token in milliseconds.
 * @param betweenTokensTargetMillis The target for the time between tokens in milliseconds.
 * @param longestWaitMillis The longest time in the queue in milliseconds after which a request is refused.
 * @param queueLimit The number of requests that may wait on one gateway.
 */
public record ServiceClass(
        String name,
        int tier,
        double guaranteedShare,
        long firstTokenTargetMillis,
        long betweenTokensTargetMillis,
        long longestWaitMillis,
        int queueLimit) {}
