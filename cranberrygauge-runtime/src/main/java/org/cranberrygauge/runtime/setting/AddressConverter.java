package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Reads an address written as HOST:PORT.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class AddressConverter implements IStringConverter<NetworkAddress> {

    /** The name of the setting. */
    private final String option;

    /**
     * Creates a converter.
     *
     * @param option The name of the setting.
     */
    public AddressConverter(String option) {
        this.option = option;
    }

    @Override
    public NetworkAddress convert(String value) {
        try {
            return NetworkAddress.parse(value);
        } catch (IllegalArgumentException exception) {
            throw new ParameterException(
                    option + " is \"" + value + "\"; allowed is HOST:PORT with a port from 0 to 65535");
        }
    }
}
