package org.cranberrygauge.operator.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import java.io.PrintStream;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.cranberrygauge.model.backend.NetworkAddress;
import org.cranberrygauge.model.error.CranberrygaugeException;
import org.cranberrygauge.operator.log.LogHistory;
import org.cranberrygauge.operator.log.LogSession;
import org.cranberrygauge.operator.view.OperationsClient;
import org.cranberrygauge.protocol.JsonCodec;
import org.cranberrygauge.runtime.event.EventRingBuffer;

/**
 * Shows the decisions about a request, a backend server or an order, from the log and from the gateways.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows what was decided about the request, backend server or order NAME, and by whom")
public final class ExplainCommand implements Command {

    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    @Parameter(description = "NAME", required = true)
    private String subject;

    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    /**
     * A step of the explanation.
     *
     * @param atMillis The time in milliseconds since the epoch.
     * @param source The gateway or the log offset that the step was read from.
     * @param what What happened.
     */
    record Step(long atMillis, String source, String what) {}

    /**
     * The explanation of a subject, as printed in JSON.
     *
     * @param steps The steps, oldest first.
     * @param silentGateways The gateways that did not answer.
     */
    record Explanation(String subject, List<Step> steps, List<String> silentGateways) {}

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            LogSession session = platform.open("explain");
            session.readToEnd();
            List<Step> steps = new ArrayList<>(loggedSteps(subject, session.history()));
            OperationsClient operations = platform.operations();
            Map<NetworkAddress, String> answers = operations.decisions(subject);
            for (Map.Entry<NetworkAddress, String> answer : answers.entrySet()) {
                for (EventRingBuffer.Entry entry : JsonCodec.read(answer.getValue(), EventRingBuffer.Entry[].class)) {
                    steps.add(new Step(
                            entry.atMillis(), "gateway " + answer.getKey(), entry.event() + " " + entry.fields()));
                }
            }
            steps.sort(Comparator.comparingLong(Step::atMillis));
            List<String> silentGateways = operations.addresses().stream()
                    .filter(address -> !answers.containsKey(address))
                    .map(NetworkAddress::toString)
                    .toList();
            print(new Explanation(subject, steps, silentGateways), output);
            return steps.isEmpty() ? ExitStatus.INVALID : ExitStatus.DONE;
        } finally {
            platform.close();
        }
    }

    private static List<Step> loggedSteps(String subject, LogHistory history) {
        List<Step> steps = new ArrayList<>();
        for (LogHistory.OrderStep order : history.orders()) {
            if (order.orderId().equals(subject)) {
                String by = order.holder().isEmpty() ? "" : " by " + order.holder();
                steps.add(new Step(
                        order.atMillis(),
                        "log offset " + order.offset(),
                        order.step() + by + ", fencing number " + order.fencingNumber() + ": " + order.result()));
            }
        }
        for (LogHistory.DrainStep drain : history.drains()) {
            if (drain.backendServer().equals(subject)) {
                steps.add(new Step(
                        drain.atMillis(), "log offset " + drain.offset(), drain.step() + ", reason " + drain.reason()));
            }
        }
        return steps;
    }

    private void print(Explanation explanation, PrintStream output) {
        if (json) {
            output.println(JsonCodec.write(explanation));
            return;
        }
        explanation
                .steps()
                .forEach(step -> output.println(
                        Instant.ofEpochMilli(step.atMillis()) + " " + step.source() + ": " + step.what()));
        if (explanation.steps().isEmpty()) {
            output.println("nothing is known about \"" + explanation.subject()
                    + "\"; gateways keep only their newest events and are queried only with --operations-addresses");
        }
        explanation.silentGateways().forEach(address -> output.println("no answer from gateway " + address));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "explain engine-a-1 --platform-address 10.0.0.1:7000 --operations-addresses 10.0.0.2:9000,10.0.0.3:9000");
    }
}
