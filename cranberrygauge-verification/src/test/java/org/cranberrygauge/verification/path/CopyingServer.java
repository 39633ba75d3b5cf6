package org.cranberrygauge.verification.path;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.net.NetClient;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A server that answers pairs of calls, and writes part of the first answer once more where no answer, or another one, is
 * due. Its client runs on the one event loop of {@link #vertx()}.
 *
 * <p>One call at a time. Each connection has a thread of its own.
 */
final class CopyingServer implements AutoCloseable {

    private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: (\\d+)\r\n");

    private static final String HEAD_END = "\r\n\r\n";

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));

    private final NetClient turns = vertx.createNetClient();

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    /** Writes one byte on each connection. */
    private final ServerSocket greeter = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final Moment moment;

    private final String first;

    private final String second;

    /** The number of bytes of the copy that are written. */
    private volatile int cut = 1;

    /** The connection of the first answer of the present pair; null before it. */
    private volatile Socket kept;

    /** The connection of the latest answer; null before it. */
    private volatile Socket latest;

    /** Whether the second answer of the pair is due. */
    private volatile boolean secondIsDue;

    /** The number of second answers that were written behind a copy. */
    private volatile int joined;

    /**
     * @param first The whole response to the first call of each pair.
     * @param second The whole response to the second one.
     */
    CopyingServer(Moment moment, String first, String second) throws IOException {
        this.moment = moment;
        this.first = first;
        this.second = second;
        threads.execute(this::accept);
        threads.execute(this::greet);
    }

    /** Returns a response with a head that names its server, and a length. */
    static String response(String status, String body) {
        return "HTTP/1.1 " + status + "\r\nContent-Type: application/json\r\nKeep-Alive: timeout=60\r\nContent-Length: "
                + body.length() + "\r\nServer: platform" + HEAD_END + body;
    }

    Vertx vertx() {
        return vertx;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Writes the copy if it is due between the calls; completes when the client's event loop has read what there is. */
    void writeBetween() throws Exception {
        if (moment == Moment.WHILE_IDLE) {
            kept.getOutputStream().write(copy());
        }
        secondIsDue = true;
        awaitReads();
    }

    /** Cuts the next copy one byte later. Returns false after the last one; where it joins an answer, that one has no whole head. */
    boolean cutLater() throws Exception {
        latest.close();
        kept.close();
        secondIsDue = false;
        awaitReads();
        int last =
                moment == Moment.WITH_SECOND_ANSWER ? first.indexOf(HEAD_END) + HEAD_END.length() - 1 : first.length();
        cut++;
        if (cut <= last) {
            return true;
        }
        assertThat(joined).isEqualTo(moment == Moment.WITH_SECOND_ANSWER ? last : 0);
        return false;
    }

    /** Describes what a call took after the present copy. */
    String describe(String result) {
        return "after " + first.substring(0, cut).replace("\r\n", "|") + ": " + result + "\n";
    }

    /** The event loop reads the byte of a new connection after all bytes that arrived before it. */
    private void awaitReads() throws Exception {
        CompletableFuture<Void> read = new CompletableFuture<>();
        vertx.runOnContext(run -> turns.connect(
                        greeter.getLocalPort(), greeter.getInetAddress().getHostAddress())
                .onSuccess(socket -> socket.handler(greeting -> read.complete(null)))
                .onFailure(read::completeExceptionally));
        read.get(10, TimeUnit.SECONDS);
    }

    private byte[] copy() {
        return first.substring(0, cut).getBytes(StandardCharsets.ISO_8859_1);
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                int pair = cut;
                threads.execute(() -> serve(socket, pair));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void greet() {
        try {
            while (true) {
                try (Socket socket = greeter.accept()) {
                    socket.getOutputStream().write('.');
                }
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    /** Answers the calls of one pair; one that arrives after it was given up. */
    private void serve(Socket socket, int pair) {
        try (socket) {
            while (readRequest(socket.getInputStream()) && pair == cut) {
                latest = socket;
                ByteArrayOutputStream bytes = new ByteArrayOutputStream();
                if (secondIsDue) {
                    answerSecond(socket, bytes);
                } else {
                    answerFirst(socket, bytes);
                }
                socket.getOutputStream().write(bytes.toByteArray());
            }
        } catch (IOException closed) {
            // The client closed the connection.
        }
    }

    private void answerFirst(Socket socket, ByteArrayOutputStream bytes) {
        kept = socket;
        bytes.writeBytes(first.getBytes(StandardCharsets.ISO_8859_1));
        if (moment == Moment.WITH_FIRST_ANSWER) {
            bytes.writeBytes(copy());
        }
    }

    private void answerSecond(Socket socket, ByteArrayOutputStream bytes) {
        if (moment == Moment.WITH_SECOND_ANSWER && kept == socket) {
            joined++;
            bytes.writeBytes(copy());
        }
        bytes.writeBytes(second.getBytes(StandardCharsets.ISO_8859_1));
    }

    /** Reads one request; returns false if the connection ends before. */
    private static boolean readRequest(InputStream input) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        int wanted = -1;
        while (wanted < 0 || received.size() < wanted) {
            int next = input.read();
            if (next < 0) {
                return false;
            }
            received.write(next);
            String text = next == '\n' && wanted < 0 ? received.toString(StandardCharsets.ISO_8859_1) : "";
            if (text.endsWith(HEAD_END)) {
                Matcher length = LENGTH.matcher(text);
                wanted = received.size() + (length.find() ? Integer.parseInt(length.group(1)) : 0);
            }
        }
        return true;
    }

    @Override
    public void close() throws Exception {
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        listener.close();
        greeter.close();
        threads.shutdown();
    }

    /** When a copy is written. */
    enum Moment {
        WITH_FIRST_ANSWER,
        WHILE_IDLE,
        WITH_SECOND_ANSWER
    }
}
