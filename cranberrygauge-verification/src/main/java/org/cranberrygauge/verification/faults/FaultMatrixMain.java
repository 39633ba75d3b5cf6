package org.cranberrygauge.verification.faults;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;

/**
 * Runs the fault matrix and writes its page.
 *
 * <p>Used by one thread.
 */
public final class FaultMatrixMain {

    /** The highest number of failed cells that are printed with their trace. */
    private static final int PRINTED_FAILURES = 3;

    /** The exit status of a run that did not show what it should. */
    private static final int FAILED = 1;

    /** The exit status of wrong settings. */
    private static final int WRONG_SETTINGS = 2;

    /** The number of pairs of faults for each protocol. */
    @Parameter(names = "--seeds", description = "Number of pairs of faults for each protocol")
    private int seeds = 1_000;

    /** The mechanisms that are off. */
    @Parameter(names = "--mechanism-off", description = "Mechanism to switch off; the run must then show failures")
    private List<Mechanism> off = new ArrayList<>();

    /** The page to write. */
    @Parameter(names = "--output", description = "Page to write, unless a mechanism is off")
    private String output = "docs/FAULT-MATRIX.md";

    /** The highest number of events in the search of the freshness rule. */
    @Parameter(
            names = "--freshness-depth",
            description = "Also search the freshness rule with this many events and write its table; 0 for no search")
    private int freshnessDepth;

    /** The page with the table of the freshness rule. */
    @Parameter(names = "--freshness-page", description = "Page whose table of the freshness rule is replaced")
    private String freshnessPage = "docs/design/freshness.md";

    /** Whether to print the usage. */
    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    /** Creates the command. */
    private FaultMatrixMain() {}

    /**
     * Runs the command.
     *
     * @param arguments The arguments.
     * @throws IOException If a page can't be written.
     */
    public static void main(String[] arguments) throws IOException {
        FaultMatrixMain command = new FaultMatrixMain();
        JCommander parser = JCommander.newBuilder()
                .addObject(command)
                .programName("fault-matrix")
                .build();
        try {
            parser.parse(arguments);
        } catch (ParameterException exception) {
            System.err.println("fault-matrix: " + exception.getMessage());
            System.exit(WRONG_SETTINGS);
        }
        if (command.help) {
            parser.usage();
            return;
        }
        System.exit(command.run(System.out));
    }

    /**
     * Runs the matrix.
     *
     * @param out Takes what is told.
     * @return The exit status.
     * @throws IOException If a page can't be written.
     */
    private int run(PrintStream out) throws IOException {
        Set<Mechanism> offSet = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
        FaultMatrix singles = FaultMatrix.run(Cell.singles(), offSet);
        FaultMatrix pairs = FaultMatrix.run(Cell.pairs(seeds), offSet);
        List<CellResult> failures = new ArrayList<>(singles.failures());
        failures.addAll(pairs.failures());
        tell(out, failures, singles.results().size() + pairs.results().size());
        if (!offSet.isEmpty()) {
            return failures.isEmpty() ? FAILED : 0;
        }
        write(Path.of(output), new FaultMatrixPage().write(seeds, singles, pairs));
        if (freshnessDepth > 0) {
            Path page = Path.of(freshnessPage);
            write(page, FreshnessPage.replace(Files.readString(page), freshnessDepth));
        }
        return failures.isEmpty() ? 0 : FAILED;
    }

    /**
     * Writes a page.
     *
     * @param path The path.
     * @param text The text.
     * @throws IOException If it can't be written.
     */
    private static void write(Path path, String text) throws IOException {
        if (path.getParent() != null) {
            Files.createDirectories(path.getParent());
        }
        Files.writeString(path, text);
    }

    /**
     * Tells how many cells failed, and the first of them with their traces.
     *
     * @param out Takes what is told.
     * @param failures The failed cells.
     * @param run The number of cells that were run.
     */
    private static void tell(PrintStream out, List<CellResult> failures, int run) {
        out.println("cells run: " + run + ", failed: " + failures.size());
        for (CellResult failure : failures.stream().limit(PRINTED_FAILURES).toList()) {
            out.println("failed: " + failure.cell());
            failure.findings().forEach(finding -> out.println("  " + finding));
            failure.trace().forEach(step -> out.println("    " + step));
        }
    }
}
