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
 * Asks the questions of a questionnaire one by one.
 *
 * <p>Invariants: an invalid answer is rejected with a message that states what is allowed, and the question is
 * repeated; input that ends early yields no questionnaire. Used by one thread.
 */
public final class QuestionnairePrompter {

    private static final String COMMA = ",";

    private final BufferedReader input;

    private final PrintStream output;

    public QuestionnairePrompter(BufferedReader input, PrintStream output) {
        this.input = input;
        this.output = output;
    }

    /**
     * Parses an answer.
     *
     * @param <T> The type of the answer.
     */
    private interface Parser<T> {

        /**
         * Parses the text of an answer.
         *
         * @throws CranberrygaugeException If the answer is not allowed.
         */
        T parse(String text) throws CranberrygaugeException;
    }

    /**
     * Asks all questions.
     *
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
            int weight = ask("Weight of " + name + " compared with others, from 1", text -> integer(text, 1));
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

    private Questionnaire.ClassAnswer serviceClass(String name, int tier) throws CranberrygaugeException {
        return new Questionnaire.ClassAnswer(
                name,
                tier,
                ask("Share of request starts reserved for " + name + ", above 0 up to 1", QuestionnairePrompter::share),
                ask("Target of " + name + " for the first token in milliseconds", text -> integer(text, 1)),
                ask("Target of " + name + " between tokens in milliseconds", text -> integer(text, 1)),
                ask("Maximum time in the queue of " + name + " in milliseconds", text -> integer(text, 1)),
                ask("Requests of " + name + " that may be queued on one gateway", text -> integer(text, 1)));
    }

    private Questionnaire.EngineAnswer engines(String dataCentre, List<String> models) throws CranberrygaugeException {
        return new Questionnaire.EngineAnswer(
                "engine-" + dataCentre,
                dataCentre,
                ask("IP address of the engines in " + dataCentre, QuestionnairePrompter::name),
                ask("Ports of the engines in " + dataCentre + ", separated by commas", QuestionnairePrompter::ports),
                new TreeSet<>(models),
                ask("Requests that an engine in " + dataCentre + " runs concurrently", text -> integer(text, 1)),
                ask("Do they reject orders with an old fencing number (yes or no)", QuestionnairePrompter::yesOrNo));
    }

    private Questionnaire.CleaningAnswer cleaning(String dataCentre) throws CranberrygaugeException {
        return new Questionnaire.CleaningAnswer(
                dataCentre,
                ask("Day of the weekly cleaning of " + dataCentre + " (MONDAY to SUNDAY)", QuestionnairePrompter::day),
                ask("Time of day it starts in UTC (HH:MM)", QuestionnairePrompter::time),
                ask("Its length in minutes", text -> integer(text, 1)));
    }

    /** Repeats a question until its answer is valid. */
    private <T> T ask(String question, Parser<T> parser) throws CranberrygaugeException {
        while (true) {
            output.print(question + ": ");
            output.flush();
            String text = line();
            try {
                return parser.parse(text.trim());
            } catch (CranberrygaugeException exception) {
                output.println("  " + exception.getMessage());
            }
        }
    }

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

    private static String name(String text) throws CranberrygaugeException {
        if (text.isEmpty() || text.contains(" ")) {
            throw invalidAnswer(text, "a name without spaces");
        }
        return text;
    }

    private static List<String> names(String text) throws CranberrygaugeException {
        List<String> names = new ArrayList<>();
        for (String part : text.split(COMMA, -1)) {
            names.add(name(part.trim()));
        }
        return names;
    }

    private static List<Integer> ports(String text) throws CranberrygaugeException {
        List<Integer> ports = new ArrayList<>();
        for (String part : text.split(COMMA, -1)) {
            ports.add(integer(part.trim(), 1));
        }
        return ports;
    }

    private static int integer(String text, int minimum) throws CranberrygaugeException {
        try {
            int value = Integer.parseInt(text);
            if (value >= minimum) {
                return value;
            }
        } catch (NumberFormatException exception) {
            throw invalidAnswer(text, "a whole number from " + minimum);
        }
        throw invalidAnswer(text, "a whole number from " + minimum);
    }

    private static double share(String text) throws CranberrygaugeException {
        try {
            double value = Double.parseDouble(text);
            if (value > 0 && value <= 1) {
                return value;
            }
        } catch (NumberFormatException exception) {
            throw invalidAnswer(text, "a number above 0 up to 1");
        }
        throw invalidAnswer(text, "a number above 0 up to 1");
    }

    private static boolean yesOrNo(String text) throws CranberrygaugeException {
        return switch (text) {
            case "yes" -> true;
            case "no" -> false;
            default -> throw invalidAnswer(text, "yes or no");
        };
    }

    private static DayOfWeek day(String text) throws CranberrygaugeException {
        return Arrays.stream(DayOfWeek.values())
                .filter(day -> day.name().equalsIgnoreCase(text))
                .findFirst()
                .orElseThrow(() -> invalidAnswer(text, "MONDAY to SUNDAY"));
    }

    /** Checks that a text is a time of day, and returns it unchanged. */
    private static String time(String text) throws CranberrygaugeException {
        TimeOfDay.minute("the time", text);
        return text;
    }

    private static CranberrygaugeException invalidAnswer(String text, String allowed) {
        return new CranberrygaugeException(
                ErrorCode.INVALID_REQUEST, "\"" + text + "\" is not allowed; allowed is " + allowed);
    }
}
