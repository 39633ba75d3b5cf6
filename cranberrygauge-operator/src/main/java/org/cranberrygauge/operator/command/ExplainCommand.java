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
 * Shows what was decided about a request, a backend server or an order, from the log and from the gateways.
 *
 * <p>Filled in by the settings parser, and used by one thread.
 */
@Parameters(commandDescription = "Shows what was decided about the request, backend server or order NAME, and by whom")
public final class ExplainCommand implements Command {

    /** The settings of the platform. */
    @ParametersDelegate
    private final PlatformSettings platform = new PlatformSettings();

    /** The subject. */
    @Parameter(description = "NAME", required = true)
    private String subject;

    /** Whether to print JSON. */
    @Parameter(names = "--json", description = "Prints JSON")
    private boolean json;

    /**
     * One line of the explanation.
     *
     * @param atMillis The time in milliseconds of the epoch.
     * @param source Who tells it.
     * @param what What happened.
     */
    record Step(long atMillis, String source, String what) {}

    /**
     * The whole explanation.
     *
     * @param subject The subject.
     * @param steps The steps, oldest first.
     * @param silentGateways The gateways that did not answer.
     */
    record Explanation(String subject, List<Step> steps, List<String> silentGateways) {}

    @Override
    public ExitStatus run(PrintStream output) throws CranberrygaugeException {
        try {
            LogSession session = platform.open("explain");
            session.readToEnd();
            List<Step> steps = new ArrayList<>(logged(subject, session.history()));
            OperationsClient operations = platform.operations();
            Map<NetworkAddress, String> answers = operations.decisions(subject);
            for (Map.Entry<NetworkAddress, String> answer : answers.entrySet()) {
                for (EventRingBuffer.Entry entry : JsonCodec.read(answer.getValue(), EventRingBuffer.Entry[].class)) {
                    steps.add(new Step(
                            entry.atMillis(), "gateway " + answer.getKey(), entry.event() + " " + entry.fields()));
                }
            }
            steps.sort(Comparator.comparingLong(Step::atMillis));
            List<String> silent = operations.addresses().stream()
                    .filter(address -> !answers.containsKey(address))
                    .map(NetworkAddress::toString)
                    .toList();
            tell(new Explanation(subject, steps, silent), output);
            return steps.isEmpty() ? ExitStatus.INVALID : ExitStatus.DONE;
        } finally {
            platform.close();
        }
    }

    /**
     * Finds what the log tells of a subject.
     *
     * @param subject The subject.
     * @param history The history.
     * @return The steps.
     */
    private static List<Step> logged(String subject, LogHistory history) {
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

    /**
     * Writes an explanation.
     *
     * @param explanation The explanation.
     * @param output Takes the text.
     */
    private void tell(Explanation explanation, PrintStream output) {
        if (json) {
            output.println(JsonCodec.write(explanation));
            return;
        }
        explanation
                .steps()
                .forEach(step -> output.println(
                        Instant.ofEpochMilli(step.atMillis()) + " " + step.source() + ": " + step.what()));
        if (explanation.steps().isEmpty()) {
            output.println("nothing is known of \"" + explanation.subject()
                    + "\"; gateways keep only their newest events, and need --operations-addresses");
        }
        explanation.silentGateways().forEach(address -> output.println("no answer from gateway " + address));
    }

    @Override
    public List<String> examples() {
        return List.of(
                "explain engine-a-1 --platform-address 10.0.0.1:7000 --operations-addresses 10.0.0.2:9000,10.0.0.3:9000");
    }
}
