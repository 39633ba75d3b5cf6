package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.util.List;
import java.util.Set;
import java.util.function.Function;
import org.cranberrygauge.decision.edit.ConfigurationEdit;
import org.cranberrygauge.model.backend.BackendKind;
import org.cranberrygauge.model.backend.BackendServer;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.backend.Supply;
import org.cranberrygauge.model.configuration.Configuration;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.runtime.setting.AddressConverter;

/**
 * Adds, changes and removes backend servers that are not ordered from the platform.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Adds, changes or removes the backend server NAME")
public final class BackendCommand implements Command {

    /** The settings of the change. */
    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    /** The address. */
    @Parameter(names = "--address", converter = AddressConverter.class, description = "HOST:PORT of its HTTP interface")
    private NetworkAddress address;

    /** The data centre. */
    @Parameter(names = "--backend-data-centre", description = "Name of its data centre")
    private String dataCentre;

    /** The kind. */
    @Parameter(names = "--kind", description = "MODEL or SERVICE")
    private BackendKind kind;

    /** What it serves. */
    @Parameter(names = "--serves", description = "Models it runs, separated by commas, or the one service it offers")
    private List<String> serves;

    /** The slots. */
    @Parameter(names = "--slots", description = "Number of requests that it runs at once")
    private Integer slots;

    /** Whether it checks fencing numbers. */
    @Parameter(
            names = "--checks-fencing",
            arity = 1,
            description = "true if it refuses orders of an old fencing number")
    private Boolean checksFencing;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.word(1, "NAME");
        return change.change((action, before) -> edit(action, name, before), output);
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
            return new ConfigurationEdit.RemoveBackendServer(name);
        }
        BackendServer inForce = before.backendServers().stream()
                .filter(server -> server.name().equals(name))
                .findFirst()
                .orElse(null);
        Set<String> served = serves == null ? null : Set.copyOf(serves);
        return new ConfigurationEdit.PutBackendServer(
                action.mode(),
                new BackendServer(
                        name,
                        pick(address, inForce, BackendServer::address, "--address"),
                        pick(dataCentre, inForce, BackendServer::dataCentre, "--backend-data-centre"),
                        pick(kind, inForce, BackendServer::kind, "--kind"),
                        pick(served, inForce, BackendServer::serves, "--serves"),
                        inForce == null ? Supply.REGULAR : inForce.supply(),
                        pick(slots, inForce, BackendServer::slots, "--slots"),
                        pick(checksFencing, inForce, BackendServer::checksFencing, "--checks-fencing")));
    }

    /**
     * Picks the value of a setting, or the one in force.
     *
     * @param value The value of the setting, or null.
     * @param inForce The backend server in force, or null.
     * @param read Reads the value in force.
     * @param flag The flag.
     * @param <T> The type.
     * @return The value.
     * @throws CranberrygaugeException If there is neither.
     */
    private static <T> T pick(T value, BackendServer inForce, Function<BackendServer, T> read, String flag)
            throws CranberrygaugeException {
        return ChangeSettings.or(value, inForce == null ? null : read.apply(inForce), flag);
    }

    @Override
    public List<String> examples() {
        return List.of(
                "backend add engine-d-1 --address 10.0.1.9:8000 --backend-data-centre tbilisi-a --kind MODEL"
                        + " --serves legend-large --slots 8 --checks-fencing true"
                        + " --platform-address 10.0.0.1:7000 --operator ana",
                "backend change engine-d-1 --slots 4 --platform-address 10.0.0.1:7000 --operator ana");
    }
}
