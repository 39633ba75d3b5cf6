package org.cranberrygauge.operator.command;

import java.io.PrintStream;
import org.cranberrygauge.model.error.CranberrygaugeException;

/** One command of the command line. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param output Takes what the command prints.
     * @return The exit status.
     * @throws CranberrygaugeException If it fails.
     */
    ExitStatus run(PrintStream output) throws CranberrygaugeException;
}
