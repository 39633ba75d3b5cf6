package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.questionnaire.KeySource;

/**
 * Adds, replaces and withdraws keys of customers.
 *
 * <p>Invariants: a new key is printed once, after it may be in force; only its digest is stored. Filled in by the
 * settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, replaces (change) or withdraws (remove) the key NAME of CUSTOMER")
public final class KeyCommand implements Command {

    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    private final KeySource keys;

    /** The new key in plain text, or null if none was generated. */
    private String newKey;

    public KeyCommand() {
        this(new KeySource.Secure());
    }

    KeyCommand(KeySource keys) {
        this.keys = keys;
    }

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String customer = change.argument(1, "CUSTOMER");
        String name = change.argument(2, "NAME");
        ExitStatus status = change.apply(
                (action, before) -> {
                    if (action == ChangeSettings.Action.REMOVE) {
                        return new ConfigurationEdit.RemoveKey(customer, name);
                    }
                    newKey = keys.next();
                    CustomerKey key = new CustomerKey(name, KeyDigest.of(newKey));
                    return new ConfigurationEdit.PutKey(action.mode(), customer, key);
                },
                output);
        CustomerCommand.printKey(status, newKey, output);
        return status;
    }

    @Override
    public List<String> examples() {
        return List.of(
                "key add kutaisi-press spring --platform-address 10.0.0.1:7000 --operator ana",
                "key change kutaisi-press spring --platform-address 10.0.0.1:7000 --operator ana",
                "key remove kutaisi-press first --platform-address 10.0.0.1:7000 --operator ana");
    }
}
