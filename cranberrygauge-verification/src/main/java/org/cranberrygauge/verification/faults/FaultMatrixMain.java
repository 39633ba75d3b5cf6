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
 * <p>Not thread-safe.
 */
public final class FaultMatrixMain {

    /** The maximum number of failed cells printed with their trace. */
    private static final int PRINTED_FAILURES = 3;

    /** The exit status if an invariant was violated, or if none was although a mechanism is off. */
    private static final int FAILED = 1;

    /** The exit status for invalid arguments. */
    private static final int INVALID_ARGUMENTS = 2;

    @Parameter(names = "--seeds", description = "Number of pairs of faults for each protocol")
    private int seeds = 1_000;

    @Parameter(names = "--mechanism-off", description = "Mechanism to switch off; the run must then show failures")
    private List<Mechanism> off = new ArrayList<>();

    @Parameter(names = "--output", description = "Page to write, unless a mechanism is off")
    private String output = "docs/FAULT-MATRIX.md";

    @Parameter(
            names = "--freshness-depth",
            description = "Also search the freshness rule with this many events and write its table; 0 for no search")
    private int freshnessDepth;

    @Parameter(names = "--freshness-page", description = "Page whose table of the freshness rule is replaced")
    private String freshnessPage = "docs/design/freshness.md";

    @Parameter(names = "--help", help = true, description = "Print this help")
    private boolean help;

    private FaultMatrixMain() {}

    /**
     * Runs the command and exits with its status.
     *
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
            System.exit(INVALID_ARGUMENTS);
        }
        if (command.help) {
            parser.usage();
            return;
        }
        System.exit(command.run(System.out));
    }

    /** Runs the matrix, writes the pages and returns the exit status. */
    private int run(PrintStream out) throws IOException {
        Set<Mechanism> switchedOff = off.isEmpty() ? EnumSet.noneOf(Mechanism.class) : EnumSet.copyOf(off);
        FaultMatrix singles = FaultMatrix.run(Cell.singles(), switchedOff);
        FaultMatrix pairs = FaultMatrix.run(Cell.pairs(seeds), switchedOff);
        List<CellResult> failures = new ArrayList<>(singles.failures());
        failures.addAll(pairs.failures());
        printFailures(out, failures, singles.results().size() + pairs.results().size());
        if (!switchedOff.isEmpty()) {
            return failures.isEmpty() ? FAILED : 0;
        }
        write(Path.of(output), new FaultMatrixPage().write(seeds, singles, pairs));
        if (freshnessDepth > 0) {
            Path page = Path.of(freshnessPage);
            write(page, FreshnessPage.replace(Files.readString(page), freshnessDepth));
        }
        return failures.isEmpty() ? 0 : FAILED;
    }

    private static void write(Path path, String text) throws IOException {
        if (path.getParent() != null) {
            Files.createDirectories(path.getParent());
        }
        Files.writeString(path, text);
    }

    /** Prints how many cells failed, and the first of them with their traces. */
    private static void printFailures(PrintStream out, List<CellResult> failures, int run) {
        out.println("cells run: " + run + ", failed: " + failures.size());
        for (CellResult failure : failures.stream().limit(PRINTED_FAILURES).toList()) {
            out.println("failed: " + failure.cell());
            failure.findings().forEach(finding -> out.println("  " + finding));
            failure.trace().forEach(step -> out.println("    " + step));
        }
    }
}
