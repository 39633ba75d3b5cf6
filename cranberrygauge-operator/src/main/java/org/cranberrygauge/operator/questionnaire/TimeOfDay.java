package org.cranberrygauge.operator.questionnaire;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Reads times of day.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class TimeOfDay {

    /** The number of minutes in an hour. */
    private static final int MINUTES_PER_HOUR = 60;

    /** Prevents instances. */
    private TimeOfDay() {}

    /**
     * Reads a time of day.
     *
     * @param field The field or setting that states it.
     * @param text The text.
     * @return The minute of the day.
     * @throws CranberrygaugeException If it can't be read.
     */
    public static int minute(String field, String text) throws CranberrygaugeException {
        try {
            LocalTime time = LocalTime.parse(String.valueOf(text));
            return time.getHour() * MINUTES_PER_HOUR + time.getMinute();
        } catch (DateTimeParseException exception) {
            throw new CranberrygaugeException(
                    ErrorCode.INVALID_CONFIGURATION,
                    field + " is \"" + text + "\"; allowed is HH:MM from 00:00 to 23:59",
                    exception);
        }
    }
}
