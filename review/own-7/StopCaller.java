import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import standin.Client;
import standin.HttpPeer;
import standin.Record;

/** A caller of one host, which sends at moments that are drawn by seed. Each caller is used by one thread. */
final class StopCaller implements Runnable {

    /** How a caller sends. */
    enum Kind {
        /** One request on a new connection. */
        NEW,
        /** One request on a connection that has served another one before the signal. */
        KEPT,
        /** One request whose body takes seconds. */
        SLOW_BODY,
        /** One request after the other on the same connection, until it is closed. */
        SERIES
    }

    private static final int DEADLINE_MILLIS = 12_000;

    private static final List<String> PATHS = List.of("/once/x", "/safe/x", "/notes/x");

    private static final String BODY = "0123456789";

    final Kind kind;

    final List<Sent> sent = new ArrayList<>();

    private final int port;

    private final Record record;

    private final String path;

    /** The time of the first request after the signal, in seconds of the record. */
    private final double sendSeconds;

    private final long bodyMillis;

    /** The time until which a series goes on. */
    private final double untilSeconds;

    StopCaller(Random random, int number, int port, double signalSeconds, Record record) {
        this.kind = Kind.values()[number % Kind.values().length];
        this.port = port;
        this.record = record;
        this.path = PATHS.get(random.nextInt(kind == Kind.SLOW_BODY ? 2 : PATHS.size()));
        double earliest = kind == Kind.SLOW_BODY ? -1 : 0;
        double latest = kind == Kind.SLOW_BODY ? 3.5 : 8;
        this.sendSeconds = signalSeconds + earliest + random.nextDouble() * (latest - earliest);
        this.bodyMillis = kind == Kind.SLOW_BODY ? 500 + random.nextInt(4_500) : 0;
        this.untilSeconds = signalSeconds + 9;
    }

    @Override
    public void run() {
        try (Socket socket = connect()) {
            if (socket == null) {
                return;
            }
            InputStream input = new BufferedInputStream(socket.getInputStream());
            if (kind == Kind.KEPT && !send(socket, input, "/safe/x", 0)) {
                return;
            }
            waitUntil(kind == Kind.SERIES ? record.seconds() : sendSeconds);
            boolean open = send(socket, input, path, bodyMillis);
            while (kind == Kind.SERIES && open && record.seconds() < untilSeconds) {
                Client.sleep(20);
                open = send(socket, input, path, 0);
            }
        } catch (IOException exception) {
            record.line("a caller's connection is refused or ends: " + exception.getMessage());
        }
    }

    /** Connects before the signal, or when the request is due; returns null if the host takes no connection any more. */
    private Socket connect() throws IOException {
        if (kind == Kind.NEW || kind == Kind.SLOW_BODY) {
            waitUntil(sendSeconds);
        }
        return new Socket(InetAddress.getByName("127.0.0.1"), port);
    }

    private void waitUntil(double seconds) {
        Client.sleep(Math.max(0, (long) ((seconds - record.seconds()) * 1_000)));
    }

    /** Sends a request, reads its answer, and returns whether the connection stays open. */
    private boolean send(Socket socket, InputStream input, String target, long slowMillis) {
        Sent request = new Sent(kind, Client.newId(), target);
        sent.add(request);
        try {
            socket.setSoTimeout(DEADLINE_MILLIS + 3_000);
            write(socket.getOutputStream(), Client.request(request.id, "POST", target, "key-1", DEADLINE_MILLIS, BODY), slowMillis);
            request.wholeSeconds = record.seconds();
            HttpPeer.Message answer = HttpPeer.read(input);
            if (answer == null) {
                throw new IOException("closed");
            }
            request.status = answer.status();
            request.whole = !target.startsWith("/notes/") || request.status != 200 || answer.text().contains("last");
            return !"close".equalsIgnoreCase(answer.header("Connection"));
        } catch (IOException | RuntimeException failure) {
            request.failure = String.valueOf(failure.getMessage());
            return false;
        } finally {
            request.endSeconds = record.seconds();
        }
    }

    private static void write(OutputStream output, String request, long slowMillis) throws IOException {
        byte[] bytes = request.getBytes(StandardCharsets.US_ASCII);
        int rest = slowMillis == 0 ? 0 : BODY.length();
        output.write(bytes, 0, bytes.length - rest);
        output.flush();
        for (int position = bytes.length - rest; position < bytes.length; position++) {
            Client.sleep(slowMillis / rest);
            output.write(bytes[position]);
            output.flush();
        }
    }

    /** A request, with what its caller saw; times are in seconds of the record. */
    static final class Sent {

        final Kind kind;

        final String id;

        final String path;

        /** The time of the last byte; infinite if it was not sent. */
        double wholeSeconds = Double.POSITIVE_INFINITY;

        double endSeconds;

        /** The status of the answer; 0 without one. */
        int status;

        /** Whether the answer is complete. */
        boolean whole;

        String failure = "";

        Sent(Kind kind, String id, String path) {
            this.kind = kind;
            this.id = id;
            this.path = path;
        }
    }
}
