import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import standin.Client;
import standin.Deployment;
import standin.Record;

/** A caller that sends one request after the other to one host and judges each answer. Used by one thread. */
final class KeptCaller implements Runnable {

    private static final int DEADLINE_MILLIS = 12_000;

    /** The time after the deadline up to which an answer is awaited. */
    private static final int SLACK_MILLIS = 3_000;

    private static final int SHORTEST_PAUSE_MILLIS = 10;

    private static final int LONGEST_PAUSE_MILLIS = 70;

    private final MixedSettings settings;

    private final int number;

    private final Deployment.Machine machine;

    private final AnswerJudge judge;

    private final Record record;

    private final Random random;

    /** The requests with what their caller got. */
    final List<Got> got = new ArrayList<>();

    private Socket socket;

    private InputStream input;

    KeptCaller(MixedSettings settings, int number, Deployment.Machine machine, AnswerJudge judge, Record record) {
        this.settings = settings;
        this.number = number;
        this.machine = machine;
        this.judge = judge;
        this.record = record;
        this.random = new Random(settings.seed() * 1_000_003 + number);
    }

    @Override
    public void run() {
        for (int request = 0; request < settings.requests(); request++) {
            Client.sleep(SHORTEST_PAUSE_MILLIS + random.nextInt(LONGEST_PAUSE_MILLIS - SHORTEST_PAUSE_MILLIS));
            String id = String.format("%08x%04x%04x", (int) settings.seed() * 0x9E3779B1, number, request);
            ask(id, path());
        }
        close();
    }

    private String path() {
        boolean once = random.nextDouble() < settings.once();
        int drawn = random.nextInt(3);
        MixedSettings.Framing framing = settings.framing() == MixedSettings.Framing.MIXED
                ? MixedSettings.Framing.values()[drawn]
                : settings.framing();
        return switch (framing) {
            case STREAMS -> "/notes/x";
            case CHUNKED -> (once ? "/once" : "/safe") + "/chunked";
            default -> (once ? "/once" : "/safe") + "/length";
        };
    }

    private void ask(String id, String path) {
        Got answer = new Got(id, path);
        got.add(answer);
        try {
            exchange(answer);
        } catch (ReceivedAnswer.MalformedAnswerException exception) {
            answer.wrong.add(AnswerJudge.Wrong.NO_ANSWER_IN_THE_PROTOCOL);
            record.line("wrong: " + id + " gets " + exception.getMessage());
            close();
        } catch (IOException exception) {
            record.line("connection of " + id + " to " + machine.name + " breaks: " + exception.getMessage());
            close();
        }
        if (judge.ranTooOften(id, path)) {
            answer.wrong.add(AnswerJudge.Wrong.RAN_TWICE);
        }
    }

    private void exchange(Got answer) throws IOException {
        connect();
        if (input.available() > 0) {
            throw new ReceivedAnswer.MalformedAnswerException("bytes with no request waiting");
        }
        String request = Client.request(answer.id, "POST", answer.path, "key-1", DEADLINE_MILLIS, "prompt");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        ReceivedAnswer received = ReceivedAnswer.read(input);
        answer.status = received.status();
        answer.complete = received.complete();
        answer.wrong.addAll(judge.judge(answer.id, answer.path, received));
        answer.stamped = !received.value("X-Response-Stamp").isEmpty();
        if (!answer.wrong.isEmpty()) {
            record.line("wrong: " + answer.id + " " + answer.path + " at " + machine.name + " " + answer.wrong + " gets "
                    + received.describe());
        }
        boolean closes = received.values("Connection").stream().anyMatch("close"::equalsIgnoreCase);
        if (!settings.kept() || closes || !received.complete()) {
            close();
        }
    }

    private void connect() throws IOException {
        if (socket != null) {
            return;
        }
        socket = new Socket(InetAddress.getByName("127.0.0.1"), machine.front);
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(DEADLINE_MILLIS + SLACK_MILLIS);
        input = new BufferedInputStream(socket.getInputStream());
    }

    private void close() {
        if (socket == null) {
            return;
        }
        try {
            socket.close();
        } catch (IOException exception) {
            record.line("a caller's connection can't be closed: " + exception.getMessage());
        }
        socket = null;
    }

    /** A request, with what its caller got. */
    static final class Got {

        final String id;

        final String path;

        final Set<AnswerJudge.Wrong> wrong = EnumSet.noneOf(AnswerJudge.Wrong.class);

        /** The status of the answer, 0 if none came. */
        int status;

        /** Whether the answer has the stamp of a server. */
        boolean stamped;

        boolean complete;

        Got(String id, String path) {
            this.id = id;
            this.path = path;
        }

        /** Whether this is a failure of the host's own, or no answer at all. */
        boolean isFailureOfTheHost() {
            return status == 0 || !complete || !stamped && (status == 502 || status == 504);
        }
    }
}
