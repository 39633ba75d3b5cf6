package org.cranberrygauge.gateway.call;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A backend server that writes any bytes in place of responses.
 *
 * <p>Each connection has a thread of its own. Safe for use by several threads.
 */
final class RawServer implements AutoCloseable {

    private static final Pattern ATTEMPT = Pattern.compile("(?i)\r\nX-Attempt-Id: ([^\r]+)\r\n");

    private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: (\\d+)\r\n");

    private static final String HEAD_END = "\r\n\r\n";

    /** The receive buffer of a server that reads no bodies, which then wait at the sender. */
    private static final int SMALL_BUFFER_BYTES = 8 << 10;

    /** The bytes of a repeated packet after which the server stops, so that a gateway that reads them all only fails its test. */
    private static final long REPEATED_LIMIT_BYTES = 200L << 20;

    private final ServerSocket listener = new ServerSocket();

    private final ExecutorService threads = Executors.newCachedThreadPool();

    private final List<Request> requests = new CopyOnWriteArrayList<>();

    private final List<Socket> sockets = new CopyOnWriteArrayList<>();

    private final Function<Request, Response> script;

    /** The connection of the latest response; null before it. */
    private volatile Socket latest;

    /** Whether the bodies of requests are read before they are answered. */
    private final boolean readsBodies;

    /** The bytes of repeated packets that the sockets took. */
    private final AtomicLong repeatedBytes = new AtomicLong();

    /** What precedes the end of a connection. */
    private volatile Step beforeEnd = () -> {};

    RawServer(Function<Request, Response> script) throws IOException {
        this(script, true);
    }

    private RawServer(Function<Request, Response> script, boolean readsBodies) throws IOException {
        this.script = script;
        this.readsBodies = readsBodies;
        if (!readsBodies) {
            listener.setReceiveBufferSize(SMALL_BUFFER_BYTES);
        }
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        threads.execute(this::accept);
    }

    /** Creates a server that answers a request when it has read its head, and reads nothing of its body. */
    static RawServer readingHeadsOnly(Function<Request, Response> script) throws IOException {
        return new RawServer(script, false);
    }

    /** Sets what precedes the end of a connection after a response; it may block. */
    void beforeEnd(Step action) {
        beforeEnd = action;
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Returns the requests so far in the order of arrival. */
    List<Request> requests() {
        return List.copyOf(requests);
    }

    /** Returns the number of bytes of repeated packets that the sockets took. */
    long repeatedBytes() {
        return repeatedBytes.get();
    }

    /** Writes bytes that answer no request on the connection of the latest response. */
    void writeUnasked(String bytes) throws IOException {
        latest.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                sockets.add(socket);
                threads.execute(() -> serve(socket));
            }
        } catch (IOException closed) {
            // The test is over.
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            for (int number = 1; true; number++) {
                String text = read(socket.getInputStream());
                if (text.isEmpty()) {
                    return;
                }
                Matcher attempt = ATTEMPT.matcher(text);
                Request request = new Request(number, text, attempt.find() ? attempt.group(1) : "");
                requests.add(request);
                Response response = script.apply(request);
                latest = socket;
                for (String packet : response.packets()) {
                    socket.getOutputStream().write(packet.getBytes(StandardCharsets.ISO_8859_1));
                }
                if (response.end() == End.REPEAT) {
                    repeat(socket, response.packets().get(response.packets().size() - 1));
                }
                if (response.end() != End.KEEP) {
                    beforeEnd.run();
                }
                if (response.end() == End.RESET) {
                    socket.setSoLinger(true, 0);
                }
                if (response.end() != End.KEEP) {
                    return;
                }
            }
        } catch (Exception closed) {
            // The gateway closed the connection.
        }
    }

    private void repeat(Socket socket, String packet) throws IOException {
        byte[] bytes = packet.getBytes(StandardCharsets.ISO_8859_1);
        for (long written = 0; written < REPEATED_LIMIT_BYTES; written += bytes.length) {
            socket.getOutputStream().write(bytes);
            repeatedBytes.addAndGet(bytes.length);
        }
    }

    /** Reads one request, or an empty text if the connection ends before. */
    private String read(InputStream input) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        int wanted = -1;
        while (wanted < 0 || received.size() < wanted) {
            int next = input.read();
            if (next < 0) {
                return "";
            }
            received.write(next);
            String text = next == '\n' && wanted < 0 ? received.toString(StandardCharsets.ISO_8859_1) : "";
            if (text.endsWith(HEAD_END)) {
                Matcher length = LENGTH.matcher(text);
                wanted = received.size() + (readsBodies && length.find() ? Integer.parseInt(length.group(1)) : 0);
            }
        }
        return received.toString(StandardCharsets.ISO_8859_1);
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
        threads.shutdown();
    }

    /** What is done between two writes to a socket. */
    interface Step {

        void run() throws Exception;
    }

    /** What becomes of the connection after a response. */
    enum End {
        KEEP,
        CLOSE,
        RESET,
        /** The last packet is written until the gateway closes the connection. */
        REPEAT
    }

    /**
     * What the gateway sent, head and body.
     *
     * @param number The number of the request on its connection, from 1.
     * @param text The whole request.
     * @param attempt The identifier of the attempt.
     */
    record Request(int number, String text, String attempt) {

        /** Returns the path, by which tests tell calls apart. */
        String path() {
            return text.split(" ")[1];
        }
    }

    /**
     * What to write, and what becomes of the connection then.
     *
     * @param packets Bytes that are written one after the other.
     */
    record Response(List<String> packets, End end) {

        /** Writes all bytes at once. */
        Response(String bytes, End end) {
            this(List.of(bytes), end);
        }
    }
}
