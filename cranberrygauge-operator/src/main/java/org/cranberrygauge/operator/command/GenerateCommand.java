package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.questionnaire.ConfigurationGenerator;
import org.cranberrygauge.operator.questionnaire.KeySource;
import org.cranberrygauge.operator.questionnaire.Questionnaire;
import org.cranberrygauge.operator.questionnaire.YamlFileReader;
import org.cranberrygauge.protocol.JsonCodec;

/**
 * Generates a configuration from a questionnaire.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Generates a configuration from a filled-in questionnaire")
public final class GenerateCommand implements Command {

    @Parameter(names = "--questionnaire", required = true, description = "File with the answers, as YAML")
    private Path questionnaire;

    @Parameter(names = "--before", description = "File with the configuration whose keys are kept, as JSON")
    private Path before;

    @Parameter(names = "--output", required = true, description = "File for the configuration, as JSON")
    private Path output;

    @Parameter(names = "--keys-output", required = true, description = "File for the keys of new customers, as JSON")
    private Path keysOutput;

    @Override
    public ExitStatus run(PrintStream printer) throws CranberrygaugeException {
        Questionnaire answers = YamlFileReader.read(questionnaire, Questionnaire.class);
        ConfigurationGenerator generator = new ConfigurationGenerator(new KeySource.Secure());
        Path file = before;
        try {
            Configuration kept = before == null
                    ? Configuration.empty()
                    : JsonCodec.read(Files.readString(before), Configuration.class);
            Configuration configuration = generator.generate(answers, kept);
            Map<String, String> keys = new TreeMap<>(generator.newKeys());
            file = output;
            Files.writeString(output, JsonCodec.write(configuration) + "\n");
            file = keysOutput;
            Files.writeString(keysOutput, JsonCodec.write(keys) + "\n");
            printer.println("generated " + output + " with " + keys.size() + " new keys in " + keysOutput);
            return ExitStatus.DONE;
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION, "cannot read or write file " + file + ": " + exception, exception);
        }
    }

    @Override
    public List<String> examples() {
        return List.of(
                "generate --questionnaire answers.yaml --output configuration.json --keys-output keys.json",
                "generate --questionnaire answers.yaml --before configuration.json --output next.json --keys-output new-keys.json");
    }
}
