package standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;

/** A minimal HTTP/1.1 server over plain sockets, one thread for each connection, and the parser that clients share. */
public final class HttpPeer {

    private static final int BACKLOG = 256;

    private static final int LOWEST_PORT = 15_000;

    private static final int HIGHEST_PORT = 30_000;

    private static final int PORT_TRIES = 100;

    private HttpPeer() {}

    /** Starts a server on a free loopback port. */
    public static Server serve(Handler handler) throws IOException {
        return new Server(new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1")), handler);
    }

    /** Returns a loopback port that is free now for TCP and UDP, below those that the kernel gives to outgoing connections. */
    public static int freePort() throws IOException {
        InetAddress loopback = InetAddress.getByName("127.0.0.1");
        for (int tries = 0; tries < PORT_TRIES; tries++) {
            int port = ThreadLocalRandom.current().nextInt(LOWEST_PORT, HIGHEST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, loopback);
                    DatagramSocket datagrams = new DatagramSocket(port, loopback)) {
                if (socket.getLocalPort() == datagrams.getLocalPort()) {
                    return port;
                }
            } catch (BindException taken) {
                // Another one is tried.
            }
        }
        throw new IOException("no free port");
    }

    /** Reads a start line with headers and a body whose length is known; returns null at the end of the connection. */
    public static Message read(InputStream input) throws IOException {
        Message message = readHead(input);
        if (message != null) {
            message.body = readBody(input, message);
        }
        return message;
    }

    /** Reads a start line and headers; returns null at the end of the connection. */
    public static Message readHead(InputStream input) throws IOException {
        String start = line(input);
        if (start == null) {
            return null;
        }
        Message message = new Message(start);
        for (String header = line(input); header != null && !header.isEmpty(); header = line(input)) {
            int colon = header.indexOf(':');
            message.headers.put(
                    header.substring(0, colon).toLowerCase(Locale.ROOT),
                    header.substring(colon + 1).trim());
        }
        return message;
    }

    private static byte[] readBody(InputStream input, Message message) throws IOException {
        if ("chunked".equalsIgnoreCase(message.headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line(input);
                if (size == null) {
                    throw new EOFException("within chunks");
                }
                int length = Integer.parseInt(size.trim(), 16);
                body.write(exactly(input, length));
                line(input);
                if (length == 0) {
                    return body.toByteArray();
                }
            }
        }
        return exactly(input, Integer.parseInt(message.headers.getOrDefault("content-length", "0")));
    }

    private static byte[] exactly(InputStream input, int length) throws IOException {
        byte[] bytes = input.readNBytes(length);
        if (bytes.length < length) {
            throw new EOFException(bytes.length + " bytes of " + length);
        }
        return bytes;
    }

    private static String line(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                String text = line.toString(StandardCharsets.ISO_8859_1);
                return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
            }
            line.write(next);
        }
        return null;
    }

    /** Handles the requests of one server. */
    public interface Handler {

        /** Answers a request on its connection. */
        void handle(Message request, Socket connection) throws IOException;
    }

    /** A request or a response. */
    public static final class Message {

        public final String start;

        public final Map<String, String> headers = new LinkedHashMap<>();

        public byte[] body = new byte[0];

        Message(String start) {
            this.start = start;
        }

        public String method() {
            return start.split(" ")[0];
        }

        public String target() {
            return start.split(" ")[1];
        }

        public String path() {
            return target().split("\\?", 2)[0];
        }

        public int status() {
            return Integer.parseInt(start.split(" ")[1]);
        }

        public String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        public String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        /** Returns the parameters of the query. */
        public Map<String, String> query() {
            Map<String, String> query = new HashMap<>();
            String[] parts = target().split("\\?", 2);
            for (String pair : parts.length < 2 ? new String[0] : parts[1].split("&")) {
                String[] both = pair.split("=", 2);
                query.put(both[0], both.length < 2 ? "" : URLDecoder.decode(both[1], StandardCharsets.UTF_8));
            }
            return query;
        }
    }

    /** Writes a response with a length. */
    public static void answer(Socket connection, int status, Map<String, String> headers, byte[] body)
            throws IOException {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " S\r\n");
        headers.forEach((name, value) ->
                head.append(name).append(": ").append(value).append("\r\n"));
        head.append("Content-Length: ").append(body.length).append("\r\n\r\n");
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        bytes.write(body);
        connection.getOutputStream().write(bytes.toByteArray());
        connection.getOutputStream().flush();
    }

    /** A running server. */
    public static final class Server {

        private final ServerSocket socket;

        private final Handler handler;

        private final List<Socket> connections = new ArrayList<>();

        Server(ServerSocket socket, Handler handler) {
            this.socket = socket;
            this.handler = handler;
            thread(this::accept);
        }

        public int port() {
            return socket.getLocalPort();
        }

        public String address() {
            return "127.0.0.1:" + port();
        }

        /** Takes no more connections, and resets those that are open. */
        public void close() throws IOException {
            socket.close();
            synchronized (connections) {
                for (Socket connection : connections) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            }
        }

        private void accept() {
            while (!socket.isClosed()) {
                try {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    synchronized (connections) {
                        connections.add(connection);
                    }
                    thread(() -> serve(connection));
                } catch (IOException exception) {
                    return;
                }
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream input = new BufferedInputStream(connection.getInputStream());
                for (Message request = read(input); request != null; request = read(input)) {
                    handler.handle(request, connection);
                }
            } catch (IOException | RuntimeException exception) {
                // The connection ends with the try block.
            } finally {
                synchronized (connections) {
                    connections.remove(connection);
                }
            }
        }

        private static void thread(Runnable run) {
            Thread thread = new Thread(run);
            thread.setDaemon(true);
            thread.start();
        }
    }
}
