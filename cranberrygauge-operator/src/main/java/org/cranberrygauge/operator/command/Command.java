package org.cranberrygauge.operator.command;

import java.io.PrintStream;
import java.util.List;
import org.cranberrygauge.model.error.CranberrygaugeException;

/** A command of the command line. */
public interface Command {

    /**
     * Runs the command.
     *
     * @param output Receives what the command prints.
     * @throws CranberrygaugeException If the command fails.
     */
    ExitStatus run(PrintStream output) throws CranberrygaugeException;

    /** Returns examples for the help, each without the name of the program. */
    List<String> examples();
}
