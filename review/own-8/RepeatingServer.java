import java.io.IOException;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Client;
import standin.HttpPeer;
import standin.Worker;

/**
 * What the servers do: they answer, and write a share of the answers once more, whole or in part. The choices follow from
 * the seed, the request and the number of its attempt. Thread-safe.
 */
final class RepeatingServer implements Worker.Program {

    private static final int SHORTEST_RUN_MILLIS = 2;

    private static final int LONGEST_RUN_MILLIS = 15;

    private static final int EARLIEST_COPY_MILLIS = 5;

    private static final int LATEST_COPY_MILLIS = 65;

    private static final int LONGEST_PACKET_PAUSE_MILLIS = 4;

    private static final int EVENT_PAUSE_MILLIS = 4;

    private final MixedSettings settings;

    private final AnswerMaker maker;

    private final ScheduledExecutorService copier = Executors.newScheduledThreadPool(2, RepeatingServer::daemon);

    private final Map<Socket, ServerConnection> connections = new ConcurrentHashMap<>();

    private final Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();

    /** How often each request ran. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** The answers to requests that ran, by their stamps. */
    final Map<String, WrittenAnswer> written = new ConcurrentHashMap<>();

    /** The connections that carried a request. */
    final AtomicInteger opened = new AtomicInteger();

    /** The copies that were written. */
    final AtomicInteger copies = new AtomicInteger();

    /** The copies that were not written, since their connection had ended or carried a request. */
    final AtomicInteger leftOut = new AtomicInteger();

    RepeatingServer(MixedSettings settings) {
        this.settings = settings;
        this.maker = new AnswerMaker(settings);
    }

    private static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    @Override
    public void run(Worker worker, HttpPeer.Message request, Socket socket) throws IOException {
        String id = request.header("X-Attempt-Id");
        if (id == null) {
            HttpPeer.answer(socket, 200, Map.of("X-Instance-Id", worker.id()), new byte[0]);
            return;
        }
        ServerConnection connection = connections.computeIfAbsent(socket, this::connection);
        connection.begin();
        int attempt = attempts.computeIfAbsent(id, key -> new AtomicInteger()).getAndIncrement();
        Random random = new Random(settings.seed() * 31 + id.hashCode() * 7_919L + attempt);
        random.nextInt();
        WrittenAnswer answer = answer(worker, request, id, attempt, random);
        worker.log("answers " + id + " attempt " + attempt + " with " + answer.status() + " " + answer.stamp());
        boolean repeats = random.nextDouble() < settings.share();
        if (repeats && settings.cut() == MixedSettings.Cut.BODY) {
            breakOffAndRepeat(connection, answer, random);
            connection.end();
            return;
        }
        write(connection, answer, random);
        connection.end();
        if (repeats) {
            repeat(connection, answer, random);
        }
    }

    /** Returns whether a request has run, and no run was a success. */
    boolean failed(String id) {
        List<WrittenAnswer> answers =
                written.values().stream().filter(answer -> answer.id().equals(id)).toList();
        return !answers.isEmpty() && answers.stream().allMatch(answer -> answer.status() >= 300);
    }

    private ServerConnection connection(Socket socket) {
        opened.incrementAndGet();
        return new ServerConnection(socket);
    }

    /** Runs a request, or rejects it. */
    private WrittenAnswer answer(Worker worker, HttpPeer.Message request, String id, int attempt, Random random) {
        if (random.nextDouble() < settings.rejections()) {
            return maker.rejection(id, random);
        }
        String stamp = worker.id() + "." + id + "." + attempt;
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        Client.sleep(SHORTEST_RUN_MILLIS + random.nextInt(LONGEST_RUN_MILLIS - SHORTEST_RUN_MILLIS));
        WrittenAnswer answer = outcome(request, id, stamp, random);
        written.put(stamp, answer);
        return answer;
    }

    private WrittenAnswer outcome(HttpPeer.Message request, String id, String stamp, Random random) {
        if (random.nextDouble() < settings.errors()) {
            return maker.error(id, stamp, random);
        }
        if (request.path().startsWith("/notes/")) {
            String last = request.header("Last-Event-Id");
            return maker.stream(id, stamp, last == null ? 0 : Integer.parseInt(last), random);
        }
        return maker.success(id, stamp, request.path().contains("/chunked"), random);
    }

    private void write(ServerConnection connection, WrittenAnswer answer, Random random) throws IOException {
        byte[] due = connection.takeDue();
        if (due.length > 0) {
            copies.incrementAndGet();
        }
        boolean asOne = random.nextBoolean();
        if (!asOne && due.length > 0) {
            connection.write(due);
        }
        writeHead(connection, asOne ? due : new byte[0], answer, random);
        if (!answer.chunked()) {
            return;
        }
        for (byte[] part : answer.framedParts()) {
            connection.write(part);
            Client.sleep(EVENT_PAUSE_MILLIS);
        }
    }

    /** Writes the head, and the body with it if that is not chunked. */
    private void writeHead(ServerConnection connection, byte[] before, WrittenAnswer answer, Random random)
            throws IOException {
        byte[] bytes = answer.chunked() ? answer.head() : answer.bytes();
        if (!settings.sound().contains(MixedSettings.Sound.PACKETS)) {
            connection.write(before, bytes);
            return;
        }
        int head = answer.head().length;
        int first = 1 + random.nextInt(head - 2);
        int second = first + 1 + random.nextInt(head - first - 1);
        connection.write(before, Arrays.copyOfRange(bytes, 0, first));
        Client.sleep(1 + random.nextInt(LONGEST_PACKET_PAUSE_MILLIS));
        connection.write(Arrays.copyOfRange(bytes, first, second));
        Client.sleep(1 + random.nextInt(LONGEST_PACKET_PAUSE_MILLIS));
        connection.write(Arrays.copyOfRange(bytes, second, bytes.length));
    }

    /** Ends the answer within its body, and writes the whole answer behind it. */
    private void breakOffAndRepeat(ServerConnection connection, WrittenAnswer answer, Random random) throws IOException {
        byte[] whole = answer.bytes();
        int head = answer.head().length;
        byte[] part = answer.firstBytes(head + random.nextInt(whole.length - head));
        int waitMillis = copyMillis(random);
        copies.incrementAndGet();
        if (isIdleMoment(random)) {
            connection.write(part);
            Client.sleep(waitMillis);
            connection.write(whole);
        } else {
            connection.write(part, whole);
        }
    }

    private void repeat(ServerConnection connection, WrittenAnswer answer, Random random) {
        WrittenAnswer copy =
                settings.names() == MixedSettings.Names.ANSWERS ? answer.without("X-Attempt-Id") : answer;
        byte[] bytes = copy.firstBytes(copyLength(copy, random));
        int waitMillis = copyMillis(random);
        if (!isIdleMoment(random)) {
            connection.keepForNext(bytes);
            return;
        }
        copier.schedule(() -> writeIfIdle(connection, bytes), waitMillis, TimeUnit.MILLISECONDS);
    }

    private void writeIfIdle(ServerConnection connection, byte[] bytes) {
        (connection.writeIfIdle(bytes) ? copies : leftOut).incrementAndGet();
    }

    private int copyLength(WrittenAnswer copy, Random random) {
        int whole = copy.bytes().length;
        int drawn = random.nextInt(Integer.MAX_VALUE);
        return switch (settings.cut()) {
            case HEAD -> 1 + drawn % (copy.head().length - 1);
            case ANYWHERE -> 1 + drawn % (whole - 1);
            case WHOLE, BODY -> whole;
        };
    }

    private static int copyMillis(Random random) {
        return EARLIEST_COPY_MILLIS + random.nextInt(LATEST_COPY_MILLIS - EARLIEST_COPY_MILLIS);
    }

    private boolean isIdleMoment(Random random) {
        boolean drawn = random.nextBoolean();
        return switch (settings.moment()) {
            case IDLE -> true;
            case BEFORE -> false;
            case MIXED -> drawn;
        };
    }
}
