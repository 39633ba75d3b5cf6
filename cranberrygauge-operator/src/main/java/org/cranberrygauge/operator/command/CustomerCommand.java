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
 * <p>Invariants: a new customer gets one key, which is told once; a changed customer keeps its keys. Filled in by the
 * settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, changes or removes the customer NAME")
public final class CustomerCommand implements Command {

    /** The settings of the change. */
    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    /** The weight. */
    @Parameter(names = "--weight", description = "Weight of the customer's fair share, a whole number above 0")
    private Integer weight;

    /** The classes. */
    @Parameter(names = "--classes", description = "Names of the classes that it may use, separated by commas")
    private List<String> classes;

    /** The source of new keys. */
    private final KeySource keys = new KeySource.Secure();

    /** The new key, or null. */
    private String added;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.word(1, "NAME");
        ExitStatus status = change.change((action, before) -> edit(action, name, before), output);
        tell(status, added, output);
        return status;
    }

    /**
     * Tells a new key if it may be in force.
     *
     * @param status How the change ended.
     * @param key The key, or null.
     * @param output Takes what is told.
     */
    static void tell(ExitStatus status, String key, PrintStream output) {
        if (key != null && (status == ExitStatus.DONE || status == ExitStatus.UNCONFIRMED)) {
            output.println("new key, shown only now: " + key);
        }
    }

    /**
     * Works out the edit.
     *
     * @param action What to do.
     * @param name The name.
     * @param before The configuration in force.
     * @return The edit.
     * @throws CranberrygaugeException If a setting is missing.
     */
    private ConfigurationEdit edit(ChangeSettings.Action action, String name, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveCustomer(name);
        }
        Customer inForce = before.customer(name).orElse(null);
        int chosenWeight = ChangeSettings.or(weight, inForce == null ? null : inForce.weight(), "--weight");
        Set<String> chosenClasses = ChangeSettings.or(
                classes == null ? null : Set.copyOf(classes), inForce == null ? null : inForce.classes(), "--classes");
        return new ConfigurationEdit.PutCustomer(
                action.mode(), new Customer(name, chosenWeight, keysOf(inForce), chosenClasses));
    }

    /**
     * Returns the keys of a customer, or a new one.
     *
     * @param inForce The customer in force, or null.
     * @return The keys.
     */
    private List<CustomerKey> keysOf(Customer inForce) {
        if (inForce != null) {
            return inForce.keys();
        }
        added = keys.next();
        return List.of(new CustomerKey("first", KeyDigest.of(added)));
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
