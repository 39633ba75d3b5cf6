package org.cranberrygauge.operator.questionnaire;

import java.time.LocalTime;
import java.time.format.DateTimeParseException;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * Parses times of day.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class TimeOfDay {

    private static final int MINUTES_PER_HOUR = 60;

    private TimeOfDay() {}

    /**
     * Parses a time of day.
     *
     * @param field The name of the field or setting, for errors.
     * @return The minute of the day, from 0.
     * @throws CranberrygaugeException If the text is not a time of day.
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
