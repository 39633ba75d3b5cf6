package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.Charset;
import java.nio.charset.StandardCharsets;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;
import org.cranberrygauge.operator.questionnaire.QuestionnairePrompter;

/**
 * Writes a questionnaire: a commented template, or answers entered on a terminal.
 *
 * <p>Invariants: an existing file is never replaced. Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Writes a commented questionnaire, or asks the questions one by one with --ask")
public final class QuestionnaireCommand implements Command {

    private static final String TEMPLATE = "/questionnaire-template.yaml";

    @Parameter(names = "--output", required = true, description = "File for the questionnaire, as YAML; must be new")
    private Path file;

    @Parameter(names = "--ask", description = "Asks the questions one by one on the terminal")
    private boolean ask;

    private final BufferedReader input;

    public QuestionnaireCommand() {
        this(new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())));
    }

    QuestionnaireCommand(BufferedReader input) {
        this.input = input;
    }

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            String text = ask ? prompt(output) : template();
            Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
            output.println("wrote " + file + "; next: check --questionnaire " + file);
            return ExitStatus.DONE;
        } catch (FileAlreadyExistsException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, file + " already exists; nothing was written", exception);
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, file + " can't be written: " + exception.getMessage(), exception);
        }
    }

    private String prompt(PrintStream output) throws CranberrygaugeException, JsonProcessingException {
        return YAMLMapper.builder()
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .build()
                .writeValueAsString(new QuestionnairePrompter(input, output).ask());
    }

    static String template() throws IOException {
        try (InputStream stream = QuestionnaireCommand.class.getResourceAsStream(TEMPLATE)) {
            return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    @Override
    public List<String> examples() {
        return List.of("questionnaire --output answers.yaml", "questionnaire --ask --output answers.yaml");
    }
}
