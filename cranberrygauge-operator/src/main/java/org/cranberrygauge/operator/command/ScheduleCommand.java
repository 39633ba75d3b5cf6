package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.time.DayOfWeek;
import java.util.List;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.configuration.CleaningWindow;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.questionnaire.TimeOfDay;

/**
 * Adds, changes and removes weekly cleaning windows.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, changes or removes the weekly cleaning window of DATA_CENTRE")
public final class ScheduleCommand implements Command {

    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    @Parameter(names = "--day", description = "Day of the week in UTC, MONDAY to SUNDAY")
    private DayOfWeek day;

    @Parameter(names = "--start", description = "Time of day in UTC as HH:MM")
    private String start;

    @Parameter(names = "--duration-minutes", description = "Length in minutes")
    private Integer durationMinutes;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String dataCentre = change.argument(1, "DATA_CENTRE");
        Integer startMinute = start == null ? null : TimeOfDay.minute("--start", start);
        return change.apply((action, before) -> edit(action, dataCentre, startMinute, before), output);
    }

    private ConfigurationEdit edit(
            ChangeSettings.Action action, String dataCentre, Integer startMinute, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveCleaningWindow(dataCentre);
        }
        CleaningWindow current = before.cleaningWindows().stream()
                .filter(window -> window.dataCentre().equals(dataCentre))
                .findFirst()
                .orElse(null);
        return new ConfigurationEdit.PutCleaningWindow(
                action.mode(),
                new CleaningWindow(
                        dataCentre,
                        ChangeSettings.valueOrCurrent(day, current == null ? null : current.day(), "--day"),
                        ChangeSettings.valueOrCurrent(
                                startMinute, current == null ? null : current.startMinute(), "--start"),
                        ChangeSettings.valueOrCurrent(
                                durationMinutes,
                                current == null ? null : current.durationMinutes(),
                                "--duration-minutes")));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "schedule change tbilisi-a --day MONDAY --start 02:00 --platform-address 10.0.0.1:7000 --operator ana");
    }
}
