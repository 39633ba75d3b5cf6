package org.cranberrygauge.operator.questionnaire;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.PrintStream;
import java.time.DayOfWeek;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.cranberrygauge.model.configuration.ControlTimes;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Asks for the answers of a team step by step.
 *
 * <p>Invariants: an answer that can't be read is asked for again with what is allowed; an interview that ends early gives
 * no answers at all. Used by one thread.
 */
public final class QuestionnairePrompter {

    /** The separator of lists. */
    private static final String COMMA = ",";

    /** Where answers come from. */
    private final BufferedReader input;

    /** Where questions go. */
    private final PrintStream output;

    /**
     * Creates an interview.
     *
     * @param input Where answers come from.
     * @param output Where questions go.
     */
    public QuestionnairePrompter(BufferedReader input, PrintStream output) {
        this.input = input;
        this.output = output;
    }

    /**
     * Reads one answer.
     *
     * @param <T> The type of the answer.
     */
    private interface Reader<T> {

        /**
         * Reads the answer.
         *
         * @param text The text.
         * @return The value.
         * @throws CranberrygaugeException If it is not allowed.
         */
        T read(String text) throws CranberrygaugeException;
    }

    /**
     * Asks all questions.
     *
     * @return The answers.
     * @throws CranberrygaugeException If the input ends early.
     */
    public Questionnaire ask() throws CranberrygaugeException {
        String deployment = ask("Name of the deployment", QuestionnairePrompter::name);
        String region = ask("Name of the region", QuestionnairePrompter::name);
        List<String> dataCentres = ask("Data centres, separated by commas", QuestionnairePrompter::names);
        List<String> models = ask("Models that callers may name, separated by commas", QuestionnairePrompter::names);
        List<Questionnaire.ClassAnswer> classes = new ArrayList<>();
        for (String name :
                ask("Service classes, highest tier first, separated by commas", QuestionnairePrompter::names)) {
            classes.add(serviceClass(name, classes.size()));
        }
        Set<String> classNames = new TreeSet<>();
        classes.forEach(answer -> classNames.add(answer.name()));
        List<Questionnaire.CustomerAnswer> customers = new ArrayList<>();
        for (String name : ask("Customers, separated by commas", QuestionnairePrompter::names)) {
            int weight = ask("Weight of " + name + " compared with others, from 1", text -> whole(text, 1));
            customers.add(new Questionnaire.CustomerAnswer(name, weight, classNames));
        }
        List<Questionnaire.EngineAnswer> engines = new ArrayList<>();
        List<Questionnaire.CleaningAnswer> cleaning = new ArrayList<>();
        for (String dataCentre : dataCentres) {
            engines.add(engines(dataCentre, models));
            cleaning.add(cleaning(dataCentre));
        }
        return new Questionnaire(
                deployment,
                region,
                dataCentres,
                models,
                classes,
                customers,
                engines,
                List.of(),
                List.of(),
                cleaning,
                ControlTimes.standard());
    }

    /**
     * Asks about a class.
     *
     * @param name The name.
     * @param tier The tier.
     * @return The answers.
     * @throws CranberrygaugeException If the input ends early.
     */
    private Questionnaire.ClassAnswer serviceClass(String name, int tier) throws CranberrygaugeException {
        return new Questionnaire.ClassAnswer(
                name,
                tier,
                ask("Share of starts that " + name + " always gets, above 0 up to 1", QuestionnairePrompter::share),
                ask("Target of " + name + " for the first token in milliseconds", text -> whole(text, 1)),
                ask("Target of " + name + " between tokens in milliseconds", text -> whole(text, 1)),
                ask("Longest wait of " + name + " in milliseconds", text -> whole(text, 1)),
                ask("Requests of " + name + " that may wait on one gateway", text -> whole(text, 1)));
    }

    /**
     * Asks about the engines of a data centre.
     *
     * @param dataCentre The data centre.
     * @param models The models.
     * @return The answers.
     * @throws CranberrygaugeException If the input ends early.
     */
    private Questionnaire.EngineAnswer engines(String dataCentre, List<String> models) throws CranberrygaugeException {
        return new Questionnaire.EngineAnswer(
                "engine-" + dataCentre,
                dataCentre,
                ask("IP number of the engines in " + dataCentre, QuestionnairePrompter::name),
                ask("Ports of the engines in " + dataCentre + ", separated by commas", QuestionnairePrompter::ports),
                new TreeSet<>(models),
                ask("Requests that an engine in " + dataCentre + " runs at once", text -> whole(text, 1)),
                ask("Do they refuse orders with an old fencing number (yes or no)", QuestionnairePrompter::yes));
    }

    /**
     * Asks about the cleaning of a data centre.
     *
     * @param dataCentre The data centre.
     * @return The answers.
     * @throws CranberrygaugeException If the input ends early.
     */
    private Questionnaire.CleaningAnswer cleaning(String dataCentre) throws CranberrygaugeException {
        return new Questionnaire.CleaningAnswer(
                dataCentre,
                ask("Day of the weekly cleaning of " + dataCentre + " (MONDAY to SUNDAY)", QuestionnairePrompter::day),
                ask("Time of day it starts in UTC (HH:MM)", QuestionnairePrompter::time),
                ask("Its length in minutes", text -> whole(text, 1)));
    }

    /**
     * Asks one question until its answer can be read.
     *
     * @param question The question.
     * @param reader Reads the answer.
     * @param <T> The type of the answer.
     * @return The answer.
     * @throws CranberrygaugeException If the input ends early.
     */
    private <T> T ask(String question, Reader<T> reader) throws CranberrygaugeException {
        while (true) {
            output.print(question + ": ");
            output.flush();
            String text = line();
            try {
                return reader.read(text.trim());
            } catch (CranberrygaugeException exception) {
                output.println("  " + exception.getMessage());
            }
        }
    }

    /**
     * Reads a line.
     *
     * @return The line.
     * @throws CranberrygaugeException If the input ends.
     */
    private String line() throws CranberrygaugeException {
        try {
            String line = input.readLine();
            if (line == null) {
                throw new CranberrygaugeException(
                        ErrorCode.INVALID_REQUEST, "the input ended before the last question; nothing was written");
            }
            return line;
        } catch (IOException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_REQUEST, "the input can't be read; nothing was written", exception);
        }
    }

    /**
     * Reads a name.
     *
     * @param text The text.
     * @return The name.
     * @throws CranberrygaugeException If it is empty or holds spaces.
     */
    private static String name(String text) throws CranberrygaugeException {
        if (text.isEmpty() || text.contains(" ")) {
            throw refuse(text, "a name without spaces");
        }
        return text;
    }

    /**
     * Reads names.
     *
     * @param text The text.
     * @return The names.
     * @throws CranberrygaugeException If there is none.
     */
    private static List<String> names(String text) throws CranberrygaugeException {
        List<String> names = new ArrayList<>();
        for (String part : text.split(COMMA, -1)) {
            names.add(name(part.trim()));
        }
        return names;
    }

    /**
     * Reads ports.
     *
     * @param text The text.
     * @return The ports.
     * @throws CranberrygaugeException If one is no port.
     */
    private static List<Integer> ports(String text) throws CranberrygaugeException {
        List<Integer> ports = new ArrayList<>();
        for (String part : text.split(COMMA, -1)) {
            ports.add(whole(part.trim(), 1));
        }
        return ports;
    }

    /**
     * Reads a whole number.
     *
     * @param text The text.
     * @param least The least value.
     * @return The number.
     * @throws CranberrygaugeException If it is none.
     */
    private static int whole(String text, int least) throws CranberrygaugeException {
        try {
            int value = Integer.parseInt(text);
            if (value >= least) {
                return value;
            }
        } catch (NumberFormatException exception) {
            throw refuse(text, "a whole number from " + least);
        }
        throw refuse(text, "a whole number from " + least);
    }

    /**
     * Reads a share.
     *
     * @param text The text.
     * @return The share.
     * @throws CranberrygaugeException If it is none.
     */
    private static double share(String text) throws CranberrygaugeException {
        try {
            double value = Double.parseDouble(text);
            if (value > 0 && value <= 1) {
                return value;
            }
        } catch (NumberFormatException exception) {
            throw refuse(text, "a number above 0 up to 1");
        }
        throw refuse(text, "a number above 0 up to 1");
    }

    /**
     * Reads yes or no.
     *
     * @param text The text.
     * @return Whether it is yes.
     * @throws CranberrygaugeException If it is neither.
     */
    private static boolean yes(String text) throws CranberrygaugeException {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw refuse(text, "yes or no");
        };
    }

    /**
     * Reads a day.
     *
     * @param text The text.
     * @return The day.
     * @throws CranberrygaugeException If it is none.
     */
    private static DayOfWeek day(String text) throws CranberrygaugeException {
        return Arrays.stream(DayOfWeek.values())
                .filter(day -> day.name().equalsIgnoreCase(text))
                .findFirst()
                .orElseThrow(() -> refuse(text, "MONDAY to SUNDAY"));
    }

    /**
     * Reads a time of day.
     *
     * @param text The text.
     * @return The text, which is a time of day.
     * @throws CranberrygaugeException If it is none.
     */
    private static String time(String text) throws CranberrygaugeException {
        TimeOfDay.minute("the time", text);
        return text;
    }

    /**
     * Builds the error of an answer.
     *
     * @param text The answer.
     * @param allowed What is allowed.
     * @return The error.
     */
    private static CranberrygaugeException refuse(String text, String allowed) {
        return new CranberrygaugeException(
                ErrorCode.INVALID_REQUEST, "\"" + text + "\" is not allowed; allowed is " + allowed);
    }
}
