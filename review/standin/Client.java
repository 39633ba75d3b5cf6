package standin;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** A requester. */
public final class Client {

    private static final AtomicLong LAST_ID = new AtomicLong(System.nanoTime());

    private Client() {}

    /** Returns an id that no other request has. */
    public static String newId() {
        return Long.toHexString(LAST_ID.incrementAndGet());
    }

    /** Returns the bytes of a request. */
    public static String request(String id, String method, String path, String key, long deadlineMillis, String body) {
        return method + " " + path + " HTTP/1.1\r\nHost: api.example\r\nX-Attempt-Id: " + id + "\r\nApi-Key: " + key
                + "\r\nX-Deadline-Ms: " + deadlineMillis + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Sends a request on a new connection, and reads its answer. */
    public static HttpPeer.Message call(int port, String request, int timeoutMillis) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            socket.setSoTimeout(timeoutMillis);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            HttpPeer.Message answer = HttpPeer.read(new BufferedInputStream(socket.getInputStream()));
            if (answer == null) {
                throw new EOFException("closed without an answer");
            }
            return answer;
        }
    }

    public static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
