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
 * Writes a questionnaire: a commented template, or the answers given step by step on a terminal.
 *
 * <p>Invariants: a file that is there already is never replaced. Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Writes a commented questionnaire, or asks step by step with --ask")
public final class QuestionnaireCommand implements Command {

    /** The name of the template. */
    private static final String TEMPLATE = "/questionnaire-template.yaml";

    /** The file for the questionnaire. */
    @Parameter(names = "--output", required = true, description = "File for the questionnaire, as YAML; must be new")
    private Path file;

    /** Whether to ask step by step. */
    @Parameter(names = "--ask", description = "Asks step by step on the terminal")
    private boolean ask;

    /** Where answers come from. */
    private final BufferedReader input;

    /** Creates a command that asks on the terminal. */
    public QuestionnaireCommand() {
        this(new BufferedReader(new InputStreamReader(System.in, Charset.defaultCharset())));
    }

    /**
     * Creates a command.
     *
     * @param input Where answers come from.
     */
    QuestionnaireCommand(BufferedReader input) {
        this.input = input;
    }

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            String text = ask ? asked(output) : template();
            Files.writeString(file, text, StandardOpenOption.CREATE_NEW);
            output.println("wrote " + file + "; next: check --questionnaire " + file);
            return ExitStatus.DONE;
        } catch (FileAlreadyExistsException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, file + " is there already; nothing was written", exception);
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, file + " can't be written: " + exception.getMessage(), exception);
        }
    }

    /**
     * Asks all questions.
     *
     * @param output Where questions go.
     * @return The answers as YAML.
     * @throws CranberrygaugeException If the input ends early.
     * @throws JsonProcessingException If the answers can't be written.
     */
    private String asked(PrintStream output) throws CranberrygaugeException, JsonProcessingException {
        return YAMLMapper.builder()
                .disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
                .build()
                .writeValueAsString(new QuestionnairePrompter(input, output).ask());
    }

    /**
     * Reads the template.
     *
     * @return The template.
     * @throws IOException If it can't be read.
     */
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
