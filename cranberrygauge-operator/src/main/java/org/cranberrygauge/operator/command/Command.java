package org.cranberrygauge.operator.command;

import java.io.PrintStream;
import java.util.List;
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

    /**
     * Returns examples of use for the help.
     *
     * @return The arguments after the name of the program, one example a line.
     */
    List<String> examples();
}
