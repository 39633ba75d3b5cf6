package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.customer.Customer;
import org.cranberrygauge.model.customer.CustomerKey;
import org.cranberrygauge.model.customer.KeyDigest;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.questionnaire.KeySource;

/**
 * Adds, changes and removes customers.
 *
 * <p>Invariants: a new customer gets one key, which is printed once; a changed customer keeps its keys. Filled in by
 * the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, changes or removes the customer NAME")
public final class CustomerCommand implements Command {

    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    @Parameter(names = "--weight", description = "Weight of the customer's fair share, a whole number above 0")
    private Integer weight;

    @Parameter(names = "--classes", description = "Names of the classes that it may use, separated by commas")
    private List<String> classes;

    private final KeySource keys = new KeySource.Secure();

    /** The new key in plain text, or null if none was generated. */
    private String newKey;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.argument(1, "NAME");
        ExitStatus status = change.apply((action, before) -> edit(action, name, before), output);
        printKey(status, newKey, output);
        return status;
    }

    /**
     * Prints a new key if it may be in force.
     *
     * @param key The key in plain text, or null if none was generated.
     */
    static void printKey(ExitStatus status, String key, PrintStream output) {
        if (key != null && (status == ExitStatus.DONE || status == ExitStatus.UNCONFIRMED)) {
            output.println("new key, shown only now: " + key);
        }
    }

    private ConfigurationEdit edit(ChangeSettings.Action action, String name, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveCustomer(name);
        }
        Customer current = before.customer(name).orElse(null);
        int chosenWeight = ChangeSettings.valueOrCurrent(weight, current == null ? null : current.weight(), "--weight");
        Set<String> chosenClasses = ChangeSettings.valueOrCurrent(
                classes == null ? null : Set.copyOf(classes), current == null ? null : current.classes(), "--classes");
        return new ConfigurationEdit.PutCustomer(
                action.mode(), new Customer(name, chosenWeight, keysOf(current), chosenClasses));
    }

    private List<CustomerKey> keysOf(Customer current) {
        if (current != null) {
            return current.keys();
        }
        newKey = keys.next();
        return List.of(new CustomerKey("first", KeyDigest.of(newKey)));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "customer add club-batumi --weight 1 --classes order-status,legend-draft"
                        + " --platform-address 10.0.0.1:7000 --operator ana",
                "customer change club-batumi --weight 2 --platform-address 10.0.0.1:7000 --operator ana",
                "customer remove club-batumi --platform-address 10.0.0.1:7000 --operator ana");
    }
}
