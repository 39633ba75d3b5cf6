package org.cranberrygauge.decision.configuration;

/**
 * A rule that a configuration violates.
 *
 * @param path The path of the field, such as classes[2].tier.
 * @param message What is wrong and what is allowed.
 */
public record ConfigurationProblem(String path, String message) {

    @Override
    public String toString() {
        return path + ": " + message;
    }
}
