import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;

/** A server's side of a connection on which bytes may be written between two answers. Thread-safe. */
final class ServerConnection {

    private final Socket socket;

    private boolean busy;

    /** What is written right before the next answer. */
    private byte[] due = new byte[0];

    ServerConnection(Socket socket) {
        this.socket = socket;
    }

    /** Begins a request: nothing is written between two answers until it ends. */
    synchronized void begin() {
        busy = true;
    }

    synchronized void end() {
        busy = false;
    }

    /** Keeps bytes for the moment right before the next answer. */
    synchronized void keepForNext(byte[] bytes) {
        due = bytes;
    }

    /** Returns the bytes that are due before an answer, and forgets them. */
    synchronized byte[] takeDue() {
        byte[] taken = due;
        due = new byte[0];
        return taken;
    }

    /** Writes bytes if no request is in progress, and returns whether they were written. */
    synchronized boolean writeIfIdle(byte[] bytes) {
        if (busy || socket.isClosed()) {
            return false;
        }
        try {
            write(bytes);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }

    synchronized void write(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
        socket.getOutputStream().flush();
    }

    /** Writes bytes that arrive as one. */
    void write(byte[] first, byte[] second) throws IOException {
        ByteArrayOutputStream both = new ByteArrayOutputStream();
        both.writeBytes(first);
        both.writeBytes(second);
        write(both.toByteArray());
    }
}
