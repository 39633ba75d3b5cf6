import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import standin.Client;
import standin.HttpPeer;
import standin.Worker;

/**
 * What a worker does with streams and with plain requests: a share of its answers is spoiled in one of the enabled ways.
 * The choice follows from the seed, the request and the number of the attempt. Thread-safe.
 */
final class FaultyServer implements Worker.Program {

    /** The ways in which an answer may be spoiled. */
    enum Fault {
        /** Chunks, cut within an event. */
        CUT_EVENT,
        /** Chunks, cut between two events. */
        CUT_CHUNKS,
        /** Chunks, reset between two events. */
        RESET,
        /** Neither a length nor chunks; closed between two events, or within a plain body. */
        UNFRAMED_CUT,
        /** Neither a length nor chunks; reset between two events, or within a plain body. */
        UNFRAMED_RESET,
        /** Neither a length nor chunks, and complete. */
        UNFRAMED_WHOLE,
        /** Neither a length nor chunks, complete, and a second answer behind it. */
        UNFRAMED_EXTRA,
        /** Closed in the middle of the head. */
        CUT_HEAD,
        /** An error of the server, with a text. */
        ERROR,
        /** A rejection that is not run, written once more when the next request comes on the connection. */
        REPEATED_REJECTION,
        /** The same, and neither copy names its request. */
        REPEATED_UNNAMED_REJECTION,
        /** Complete, and written once more when the next request comes. */
        REPEATED_ANSWER,
        /** Begins with the first event, whatever event the request names. */
        BEGINS_AGAIN,
        /** Leaves an event out after the one that the request names. */
        LEAVES_OUT
    }

    static final int EVENTS = 24;

    static final int EVENT_MILLIS = 30;

    static final String BODY = "0123456789".repeat(80);

    private static final byte[] NOTHING = new byte[0];

    private final long seed;

    private final Fault[] faults;

    private final double share;

    private final Map<String, AtomicInteger> attempts = new ConcurrentHashMap<>();

    /** How often each request ran. */
    final Map<String, AtomicInteger> runs = new ConcurrentHashMap<>();

    /** How often each fault was played. */
    final Map<Fault, AtomicInteger> played = new ConcurrentHashMap<>();

    /** What comes before the next answer on a connection. */
    private final Map<Socket, byte[]> pending = new ConcurrentHashMap<>();

    /** @param share The share of the answers that are spoiled, from 0 to 1. */
    FaultyServer(long seed, Set<Fault> faults, double share) {
        this.seed = seed;
        this.faults = faults.toArray(new Fault[0]);
        this.share = share;
    }

    @Override
    public void run(Worker worker, HttpPeer.Message request, Socket connection) throws IOException {
        byte[] stale = pending.remove(connection);
        if (stale != null) {
            write(connection, stale);
        }
        String id = request.header("X-Attempt-Id");
        int attempt = attempts.computeIfAbsent(id, key -> new AtomicInteger()).getAndIncrement();
        Random random = new Random(seed * 31 + id.hashCode() * 7919L + attempt);
        random.nextInt();
        boolean spoiled = faults.length > 0 && random.nextDouble() < share;
        Fault fault = spoiled ? faults[random.nextInt(faults.length)] : null;
        if (fault != null) {
            played.computeIfAbsent(fault, key -> new AtomicInteger()).incrementAndGet();
        }
        worker.log("answers " + id + " attempt " + attempt + " from event " + request.header("Last-Event-Id") + " with " + fault);
        if (fault == Fault.REPEATED_REJECTION || fault == Fault.REPEATED_UNNAMED_REJECTION) {
            reject(worker, request, connection, fault == Fault.REPEATED_REJECTION);
            return;
        }
        runs.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
        if (fault == Fault.ERROR) {
            HttpPeer.answer(connection, 500, worker.headers(request), "server error\n\nnot an event\n\n".getBytes(StandardCharsets.US_ASCII));
        } else if (fault == Fault.CUT_HEAD) {
            byte[] head = head(worker, request, "Content-Length: " + BODY.length()).getBytes(StandardCharsets.US_ASCII);
            write(connection, java.util.Arrays.copyOf(head, 1 + random.nextInt(head.length - 1)));
            connection.close();
        } else if (request.path().startsWith("/notes/")) {
            stream(worker, request, connection, fault, random);
        } else {
            answer(worker, request, connection, fault, random);
        }
    }

    private void reject(Worker worker, HttpPeer.Message request, Socket connection, boolean named) throws IOException {
        Map<String, String> headers = named
                ? Map.of("X-Not-Executed", "1", "X-Attempt-Id", request.header("X-Attempt-Id"))
                : Map.of("X-Not-Executed", "1");
        HttpPeer.answer(connection, 503, headers, NOTHING);
        StringBuilder again = new StringBuilder("HTTP/1.1 503 S\r\n");
        headers.forEach((name, value) -> again.append(name).append(": ").append(value).append("\r\n"));
        pending.put(connection, (again + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
    }

    private void answer(Worker worker, HttpPeer.Message request, Socket connection, Fault fault, Random random)
            throws IOException {
        boolean unframed = fault != null && fault.name().startsWith("UNFRAMED");
        boolean cut = fault == Fault.CUT_EVENT || fault == Fault.CUT_CHUNKS || fault == Fault.RESET
                || fault == Fault.UNFRAMED_CUT || fault == Fault.UNFRAMED_RESET;
        Client.sleep(10);
        int length = cut ? random.nextInt(BODY.length()) : BODY.length();
        String framing = unframed ? "Connection: close" : "Content-Length: " + BODY.length();
        byte[] whole = (head(worker, request, framing) + BODY.substring(0, length)).getBytes(StandardCharsets.US_ASCII);
        write(connection, whole);
        if (fault == Fault.RESET || fault == Fault.UNFRAMED_RESET) {
            Client.sleep(20);
            connection.setSoLinger(true, 0);
        }
        if (cut || unframed) {
            connection.close();
        } else if (fault == Fault.REPEATED_ANSWER) {
            pending.put(connection, whole);
        }
    }

    private void stream(Worker worker, HttpPeer.Message request, Socket connection, Fault fault, Random random)
            throws IOException {
        boolean unframed = fault != null && fault.name().startsWith("UNFRAMED");
        String last = request.header("Last-Event-Id");
        int first = last == null ? 1 : Integer.parseInt(last) + 1;
        if (fault == Fault.BEGINS_AGAIN) {
            first = 1;
        } else if (fault == Fault.LEAVES_OUT && last != null) {
            first++;
        }
        int end = first + random.nextInt(Math.max(1, EVENTS - first + 1));
        ByteArrayOutputStream sent = new ByteArrayOutputStream();
        send(connection, sent, head(worker, request,
                "Content-Type: text/event-stream\r\n" + (unframed ? "Connection: close" : "Transfer-Encoding: chunked")));
        for (int id = first; id <= EVENTS; id++) {
            Client.sleep(EVENT_MILLIS);
            String event = "id: " + id + "\ndata: " + worker.version() + " text " + id + "\n\n";
            if (id == end && spoilsEvent(fault)) {
                breakOff(connection, fault, event);
                return;
            }
            send(connection, sent, unframed ? event : Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        if (!unframed) {
            send(connection, sent, "0\r\n\r\n");
        } else if (fault == Fault.UNFRAMED_EXTRA) {
            write(connection, sent.toByteArray());
        }
        if (unframed) {
            connection.close();
        } else if (fault == Fault.REPEATED_ANSWER) {
            pending.put(connection, sent.toByteArray());
        }
    }

    private static boolean spoilsEvent(Fault fault) {
        return fault == Fault.CUT_EVENT || fault == Fault.CUT_CHUNKS || fault == Fault.RESET
                || fault == Fault.UNFRAMED_CUT || fault == Fault.UNFRAMED_RESET;
    }

    private static void breakOff(Socket connection, Fault fault, String event) throws IOException {
        if (fault == Fault.CUT_EVENT) {
            write(connection, (Integer.toHexString(event.length()) + "\r\n" + event.substring(0, event.length() / 2))
                    .getBytes(StandardCharsets.US_ASCII));
        }
        if (fault == Fault.RESET || fault == Fault.UNFRAMED_RESET) {
            Client.sleep(20);
            connection.setSoLinger(true, 0);
        }
        connection.close();
    }

    private static String head(Worker worker, HttpPeer.Message request, String framing) {
        StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
        worker.headers(request).forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
        return head + framing + "\r\n\r\n";
    }

    private static void send(Socket connection, ByteArrayOutputStream sent, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
        sent.write(bytes);
        write(connection, bytes);
    }

    private static void write(Socket connection, byte[] bytes) throws IOException {
        connection.getOutputStream().write(bytes);
        connection.getOutputStream().flush();
    }
}
