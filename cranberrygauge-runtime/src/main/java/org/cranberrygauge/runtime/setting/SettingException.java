package org.cranberrygauge.runtime.setting;

import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/** A setting is wrong or missing; the message is one line that names the setting, the value and what is allowed. */
public final class SettingException extends CranberrygaugeException {

    /** The serial version. */
    private static final long serialVersionUID = 1L;

    /**
     * Creates an error.
     *
     * @param message The line for people.
     */
    public SettingException(String message) {
        super(ErrorCode.INVALID_SETTING, message);
    }
}
