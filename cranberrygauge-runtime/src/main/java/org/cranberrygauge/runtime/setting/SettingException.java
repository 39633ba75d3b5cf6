package org.cranberrygauge.runtime.setting;

import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.model.error.ErrorCode;

/**
 * A setting is invalid or missing; the message is a single line that names the setting, the value and the allowed
 * values.
 */
public final class SettingException extends CranberrygaugeException {

    private static final long serialVersionUID = 1L;

    public SettingException(String message) {
        super(ErrorCode.INVALID_SETTING, message);
    }
}
