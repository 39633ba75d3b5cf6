package org.cranberrygauge.verification.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A program of the product or an emulator, run as a separate process. */
final class Program {

    private static final Path JAVA =
            Path.of(System.getProperty("java.home")).resolve("bin").resolve("java");
    private static final long EXIT_SECONDS = 30;

    private final String name;
    private final Process process;
    private final Path log;

    private Program(String name, Process process, Path log) {
        this.name = name;
        this.process = process;
        this.log = log;
    }

    static Program start(Path directory, String name, Class<?> main, List<String> arguments) {
        try {
            Path log = Files.createTempFile(directory, name, ".log");
            List<String> command = new ArrayList<>(List.of(
                    JAVA.toString(),
                    "-Xms16m",
                    "-Xmx128m",
                    "-XX:+UseSerialGC",
                    "-XX:TieredStopAtLevel=1",
                    "-cp",
                    System.getProperty("java.class.path"),
                    main.getName()));
            command.addAll(arguments);
            Process process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(log.toFile())
                    .start();
            return new Program(name, process, log);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Waits until the program has logged an event, and returns a numeric field of it. */
    int awaitEventNumber(String event, String field) {
        Pattern pattern = Pattern.compile("event=" + event + " .*\\b" + field + "=(\\d+)");
        return Await.value(name + " writes " + event, () -> {
            if (!process.isAlive()) {
                throw new IllegalStateException(name + " exited: " + output());
            }
            Matcher matcher = pattern.matcher(output());
            return matcher.find() ? Integer.valueOf(matcher.group(1)) : null;
        });
    }

    String output() {
        try {
            return Files.readString(log);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Sends a signal to exactly this process. */
    void signal(String signal) {
        try {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid()))
                    .start()
                    .waitFor();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    int awaitExit() {
        try {
            if (!process.waitFor(EXIT_SECONDS, TimeUnit.SECONDS)) {
                throw new AssertionError(name + " did not exit: " + output());
            }
            return process.exitValue();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(exception);
        }
    }

    void kill() {
        process.destroyForcibly();
    }
}
