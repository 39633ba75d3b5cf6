package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The file in which a case records what was sent, answered and run, with the seconds since its start. Thread-safe. */
public final class Record {

    private final PrintWriter writer;

    private final long startNanos = System.nanoTime();

    public Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), true);
    }

    public synchronized void line(String text) {
        writer.printf("%8.3f %s%n", seconds(), text);
    }

    public double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }
}
