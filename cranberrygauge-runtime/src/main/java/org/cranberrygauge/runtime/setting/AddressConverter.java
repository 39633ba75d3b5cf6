package org.cranberrygauge.runtime.setting;

import com.beust.jcommander.IStringConverter;
import com.beust.jcommander.ParameterException;
import org.cranberrygauge.model.backend.NetworkAddress;

/**
 * Parses an address of the form HOST:PORT.
 *
 * <p>Immutable and safe for use by several threads.
 */
public final class AddressConverter implements IStringConverter<NetworkAddress> {

    private final String option;

    /** Creates a converter for the named setting. */
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
