package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/**
 * Checks that a setting is a whole number above zero.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class PositiveNumber implements IParameterValidator {

    @Override
    public void validate(String name, String value) {
        try {
            if (Long.parseLong(value) > 0) {
                return;
            }
        } catch (NumberFormatException exception) {
            throw refuse(name, value);
        }
        throw refuse(name, value);
    }

    /**
     * Builds the error.
     *
     * @param name The name of the setting.
     * @param value The value.
     * @return The error.
     */
    private static ParameterException refuse(String name, String value) {
        return new ParameterException(name + " is \"" + value + "\"; allowed is a whole number above 0");
    }
}
