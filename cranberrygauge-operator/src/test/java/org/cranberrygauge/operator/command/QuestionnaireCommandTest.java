package org.cranberrygauge.operator.command;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.beust.jcommander.JCommander;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.io.StringReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class QuestionnaireCommandTest {

    private static final String ANSWERS = String.join(
            "\n",
            "fountains",
            "north",
            "north-a",
            "amber",
            "chat",
            "2",
            "0.5",
            "1400",
            "31",
            "5000",
            "500",
            "parks",
            "1",
            "10.0.0.1",
            "8001,8002",
            "8",
            "maybe",
            "yes",
            "tuesday",
            "25:00",
            "02:00",
            "180",
            "");

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

    private final PrintStream output = new PrintStream(printed, true, StandardCharsets.UTF_8);

    @TempDir
    private Path directory;

    @Test
    void the_template_passes_its_own_check() throws Exception {
        Path file = directory.resolve("answers.yaml");
        assertThat(run(new QuestionnaireCommand(), "--output", file.toString())).isEqualTo(ExitStatus.DONE);
        assertThat(run(new CheckCommand(), "--questionnaire", file.toString())).isEqualTo(ExitStatus.DONE);
    }

    @Test
    void entered_answers_pass_the_check_and_invalid_ones_are_asked_for_again() throws Exception {
        Path file = directory.resolve("asked.yaml");
        BufferedReader input = new BufferedReader(new StringReader(ANSWERS));
        assertThat(run(new QuestionnaireCommand(input), "--ask", "--output", file.toString()))
                .isEqualTo(ExitStatus.DONE);
        assertThat(run(new CheckCommand(), "--questionnaire", file.toString())).isEqualTo(ExitStatus.DONE);
        assertThat(printed.toString(StandardCharsets.UTF_8))
                .contains("\"2\" is not allowed; allowed is a number above 0 up to 1")
                .contains("\"maybe\" is not allowed; allowed is yes or no")
                .contains("\"25:00\"; allowed is HH:MM");
    }

    @Test
    void input_that_ends_early_writes_no_file() {
        Path file = directory.resolve("early.yaml");
        QuestionnaireCommand command = new QuestionnaireCommand(new BufferedReader(new StringReader("fountains\n")));
        assertThatThrownBy(() -> run(command, "--ask", "--output", file.toString()))
                .isInstanceOf(CranberrygaugeException.class)
                .hasMessageContaining("nothing was written");
        assertThat(file).doesNotExist();
    }

    @Test
    void an_existing_file_is_not_replaced() throws Exception {
        Path file = directory.resolve("answers.yaml");
        Files.writeString(file, "mine");
        assertThatThrownBy(() -> run(new QuestionnaireCommand(), "--output", file.toString()))
                .hasMessageContaining("already exists");
        assertThat(file).hasContent("mine");
    }

    @Test
    void a_problem_names_file_line_and_field() throws Exception {
        Path file = directory.resolve("wrong.yaml");
        Files.writeString(file, QuestionnaireCommand.template().replace("tier: 3", "tier: 9"));
        assertThat(run(new CheckCommand(), "--questionnaire", file.toString())).isEqualTo(ExitStatus.INVALID);
        assertThat(printed.toString(StandardCharsets.UTF_8))
                .contains("wrong.yaml:20: classes[1].tier: must be from 0 to 7");
    }

    private ExitStatus run(Command command, String... arguments) throws CranberrygaugeException {
        JCommander.newBuilder().addObject(command).build().parse(arguments);
        return command.run(output);
    }
}
