package org.cranberrygauge.verification.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends durations that tests measure to target/control-measurements.txt. */
final class Measurements {

    private static final Path FILE = Path.of("target", "control-measurements.txt");

    private Measurements() {}

    static void append(String name, long millis) {
        try {
            Files.createDirectories(FILE.getParent());
            Files.writeString(FILE, name + "=" + millis + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    static long since(long startNanos) {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }
}
