package org.cranberrygauge.verification.policy;

import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.questionnaire.ConfigurationGenerator;
import org.cranberrygauge.operator.questionnaire.Questionnaire;
import org.cranberrygauge.operator.questionnaire.YamlFileReader;

/** Reads the configurations of the example deployments. */
final class ExampleDeployments {

    private ExampleDeployments() {}

    /** Generates a configuration from a questionnaire file, with customer keys that are the same on every call. */
    static Configuration read(Path questionnaire) throws CranberrygaugeException {
        AtomicInteger keys = new AtomicInteger();
        ConfigurationGenerator generator = new ConfigurationGenerator(() -> "replay-" + keys.incrementAndGet());
        return generator.generate(YamlFileReader.read(questionnaire, Questionnaire.class), Configuration.empty());
    }
}
