package org.cranberrygauge.model.backend;

/**
 * A data centre of a region.
 *
 * @param name The name, unique in the deployment.
 * @param region The region that the data centre belongs to.
 */
public record DataCentre(String name, String region) {}
