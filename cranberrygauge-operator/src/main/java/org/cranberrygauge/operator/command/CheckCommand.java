package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.cranberrygauge.decision.configuration.ConfigurationProblem;
import org.cranberrygauge.decision.configuration.ConfigurationValidator;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.questionnaire.AnswerLineIndex;
import org.cranberrygauge.operator.questionnaire.ConfigurationGenerator;
import org.cranberrygauge.operator.questionnaire.KeySource;
import org.cranberrygauge.operator.questionnaire.Questionnaire;
import org.cranberrygauge.operator.questionnaire.YamlFileReader;

/**
 * Checks a questionnaire and prints each problem with file, line and field.
 *
 * <p>Writes no file. Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Checks a filled-in questionnaire; prints file, line and field of each problem")
public final class CheckCommand implements Command {

    @Parameter(names = "--questionnaire", required = true, description = "File with the answers, as YAML")
    private Path questionnaire;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String text = text(questionnaire);
        Questionnaire answers = YamlFileReader.read(questionnaire.toString(), text, Questionnaire.class);
        Configuration configuration =
                new ConfigurationGenerator(new KeySource.Secure()).build(answers, Configuration.empty());
        List<ConfigurationProblem> problems = ConfigurationValidator.problems(configuration);
        AnswerLineIndex lines = lines(text);
        for (ConfigurationProblem problem : problems) {
            output.println(questionnaire + ":" + lines.lineOf(problem.path()) + ": " + problem);
        }
        output.println(problems.isEmpty() ? "valid: " + questionnaire : problems.size() + " problems");
        return problems.isEmpty() ? ExitStatus.DONE : ExitStatus.INVALID;
    }

    private static String text(Path file) throws CranberrygaugeException {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION, file + ": can't be read: " + exception.getMessage(), exception);
        }
    }

    private static AnswerLineIndex lines(String text) {
        try {
            return AnswerLineIndex.of(text);
        } catch (IOException exception) {
            throw new IllegalStateException("YAML that was parsed before can't be parsed", exception);
        }
    }

    @Override
    public List<String> examples() {
        return List.of("check --questionnaire answers.yaml");
    }
}
