package org.cranberrygauge.model.configuration;

import java.time.DayOfWeek;

/**
 * A weekly window in which the backend servers of a data centre are drained one after another.
 *
 * @param day The day of the week in UTC.
 * @param startMinute The minute of the day at which the window opens.
 * @param durationMinutes The length in minutes.
 */
public record CleaningWindow(String dataCentre, DayOfWeek day, int startMinute, int durationMinutes) {}
