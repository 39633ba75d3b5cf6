package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IParameterValidator;
import com.beust.jcommander.ParameterException;

/**
 * Validates that a setting is an integer greater than zero.
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
            throw invalid(name, value);
        }
        throw invalid(name, value);
    }

    private static ParameterException invalid(String name, String value) {
        return new ParameterException(name + " is \"" + value + "\"; allowed is a whole number above 0");
    }
}
