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
 * <p>Invariants: a new key is told once, after it may be in force; only its digest is kept. Filled in by the settings
 * parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, replaces (change) or withdraws (remove) the key NAME of CUSTOMER")
public final class KeyCommand implements Command {

    /** The settings of the change. */
    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    /** The source of new keys. */
    private final KeySource keys;

    /** The new key, or null. */
    private String added;

    /** Creates a command with keys that nobody can guess. */
    public KeyCommand() {
        this(new KeySource.Secure());
    }

    /**
     * Creates a command.
     *
     * @param keys The source of new keys.
     */
    KeyCommand(KeySource keys) {
        this.keys = keys;
    }

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String customer = change.word(1, "CUSTOMER");
        String name = change.word(2, "NAME");
        ExitStatus status = change.change(
                (action, before) -> {
                    if (action == ChangeSettings.Action.REMOVE) {
                        return new ConfigurationEdit.RemoveKey(customer, name);
                    }
                    added = keys.next();
                    CustomerKey key = new CustomerKey(name, KeyDigest.of(added));
                    return new ConfigurationEdit.PutKey(action.mode(), customer, key);
                },
                output);
        CustomerCommand.tell(status, added, output);
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
