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

    @ParametersDelegate
    private final ChangeSettings change = new ChangeSettings();

    @Parameter(names = "--address", converter = AddressConverter.class, description = "HOST:PORT of its HTTP interface")
    private NetworkAddress address;

    @Parameter(names = "--backend-data-centre", description = "Name of its data centre")
    private String dataCentre;

    @Parameter(names = "--kind", description = "MODEL or SERVICE")
    private BackendKind kind;

    @Parameter(names = "--serves", description = "Models that it serves, separated by commas, or its service")
    private List<String> serves;

    @Parameter(names = "--slots", description = "Number of requests that it runs concurrently")
    private Integer slots;

    @Parameter(
            names = "--checks-fencing",
            arity = 1,
            description = "true if it rejects orders with an old fencing number")
    private Boolean checksFencing;

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        String name = change.argument(1, "NAME");
        return change.apply((action, before) -> edit(action, name, before), output);
    }

    private ConfigurationEdit edit(ChangeSettings.Action action, String name, Configuration before)
            throws CranberrygaugeException {
        if (action == ChangeSettings.Action.REMOVE) {
            return new ConfigurationEdit.RemoveBackendServer(name);
        }
        BackendServer current = before.backendServers().stream()
                .filter(server -> server.name().equals(name))
                .findFirst()
                .orElse(null);
        Set<String> served = serves == null ? null : Set.copyOf(serves);
        return new ConfigurationEdit.PutBackendServer(
                action.mode(),
                new BackendServer(
                        name,
                        valueOrCurrent(address, current, BackendServer::address, "--address"),
                        valueOrCurrent(dataCentre, current, BackendServer::dataCentre, "--backend-data-centre"),
                        valueOrCurrent(kind, current, BackendServer::kind, "--kind"),
                        valueOrCurrent(served, current, BackendServer::serves, "--serves"),
                        current == null ? Supply.REGULAR : current.supply(),
                        valueOrCurrent(slots, current, BackendServer::slots, "--slots"),
                        valueOrCurrent(checksFencing, current, BackendServer::checksFencing, "--checks-fencing")));
    }

    private static <T> T valueOrCurrent(T value, BackendServer current, Function<BackendServer, T> read, String flag)
            throws CranberrygaugeException {
        return ChangeSettings.valueOrCurrent(value, current == null ? null : read.apply(current), flag);
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
