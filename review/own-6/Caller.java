import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import standin.Client;
import standin.Deployment;
import standin.HttpPeer;
import standin.Record;

/** A caller that reads its answers byte by byte, and resumes a stream after a broken connection or a rejection. */
final class Caller implements Runnable {

    private static final int DEADLINE_MILLIS = 12_000;

    private static final int RETRY_MILLIS = 200;

    /** The first bytes of the lines that an event may have. */
    private static final List<String> FIELDS = List.of("id: ", "data: ", ":");

    private final List<Deployment.Machine> machines;

    private final Record record;

    private final String path;

    private final double deadlineSeconds;

    private final TreeSet<String> versions = new TreeSet<>();

    private int next;

    private String first = "";

    private int lastId;

    /** The identifiers of the requests that were sent. */
    final List<String> ids = new ArrayList<>();

    /** The requests that were answered with a statement that they have not run. */
    final List<String> rejected = new ArrayList<>();

    /** What breaks a rule, one line each. */
    final List<String> broken = new ArrayList<>();

    /** Whether an answer ended that its framing shows to be complete. */
    boolean complete;

    /** Whether an answer without framing ended by the end of its connection. */
    boolean endedWithoutFraming;

    /** Whether an answer without framing ended early. */
    boolean endedEarlyWithoutFraming;

    Caller(List<Deployment.Machine> machines, int number, String path, Record record) {
        this.machines = machines;
        this.next = number;
        this.path = path;
        this.record = record;
        this.deadlineSeconds = record.seconds() + DEADLINE_MILLIS / 1_000.0;
    }

    String versions() {
        return String.join(",", versions);
    }

    int lastId() {
        return lastId;
    }

    boolean isOnce() {
        return path.startsWith("/once/");
    }

    boolean streams() {
        return path.startsWith("/notes/");
    }

    private boolean mayRepeat(String id) {
        return !isOnce() || rejected.contains(id);
    }

    @Override
    public void run() {
        while (!complete && !endedWithoutFraming && record.seconds() < deadlineSeconds - 0.5) {
            Deployment.Machine machine = machines.get(next++ % machines.size());
            String id = Client.newId();
            ids.add(id);
            try {
                attempt(machine, id);
            } catch (IOException exception) {
                record.line("connection of " + id + " to " + machine.name + " breaks after event " + lastId);
            }
            if (!complete && !mayRepeat(id)) {
                return;
            }
            Client.sleep(RETRY_MILLIS);
        }
    }

    private void attempt(Deployment.Machine machine, String id) throws IOException {
        try (Socket socket = new Socket(InetAddress.getByName("127.0.0.1"), machine.front)) {
            long leftMillis = Math.max(1, (long) ((deadlineSeconds - record.seconds()) * 1_000));
            socket.setSoTimeout((int) leftMillis);
            String resumption = lastId == 0 ? "" : "Last-Event-Id: " + lastId + "\r\nResumes: " + first + "\r\n";
            String request = Client.request(id, "POST", path, "key-1", leftMillis, "prompt")
                    .replace("Content-Length", resumption + "X-Model: m\r\nX-Token-Count: 100,96\r\nContent-Length");
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            InputStream input = new BufferedInputStream(socket.getInputStream());
            HttpPeer.Message head = HttpPeer.readHead(input);
            if (head == null) {
                throw new IOException("closed");
            }
            record.line(id + " to " + machine.name + " from event " + lastId + " gets " + head.status() + " of "
                    + head.header("X-Response-Stamp"));
            if (head.status() == 429 || head.status() == 503) {
                rejected.add(id);
            }
            if (head.status() != 200) {
                return;
            }
            boolean chunked = "chunked".equalsIgnoreCase(head.header("Transfer-Encoding"));
            String length = head.header("Content-Length");
            StringBuilder text = new StringBuilder();
            boolean framed = chunked || length != null;
            try {
                if (chunked) {
                    readChunks(input, text, id);
                } else {
                    readPlain(input, text, length, id);
                }
            } finally {
                judgeText(text, id);
            }
            end(framed, id);
        }
    }

    private void end(boolean framed, String id) {
        boolean early = streams() ? lastId < FaultyServer.EVENTS : bodyLength < FaultyServer.BODY.length();
        if (framed) {
            complete = true;
            if (early) {
                broken.add(id + " ends as complete at " + (streams() ? "event " + lastId : bodyLength + " bytes"));
            }
        } else {
            endedWithoutFraming = true;
            endedEarlyWithoutFraming = early;
        }
    }

    private int bodyLength;

    private void readPlain(InputStream input, StringBuilder text, String length, String id) throws IOException {
        int left = length == null ? Integer.MAX_VALUE : Integer.parseInt(length);
        while (left > 0) {
            int read = input.read();
            if (read < 0) {
                if (length != null) {
                    throw new IOException("closed");
                }
                return;
            }
            take((char) read, text, id);
            left--;
        }
    }

    private void readChunks(InputStream input, StringBuilder text, String id) throws IOException {
        while (true) {
            int size = Integer.parseInt(line(input).trim(), 16);
            for (int read = 0; read < size; read++) {
                int next = input.read();
                if (next < 0) {
                    throw new IOException("closed within a chunk");
                }
                take((char) next, text, id);
            }
            line(input);
            if (size == 0) {
                return;
            }
        }
    }

    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next != '\n'; next = input.read()) {
            if (next < 0) {
                throw new IOException("closed");
            }
            line.append((char) next);
        }
        return line.toString();
    }

    private void take(char next, StringBuilder text, String id) {
        if (!streams()) {
            bodyLength++;
            text.append(next);
            return;
        }
        text.append(next);
        int end = text.indexOf("\n\n");
        if (end >= 0) {
            judgeEvent(text.substring(0, end), id);
            text.setLength(0);
        }
    }

    private void judgeEvent(String event, String id) {
        for (String line : event.split("\n")) {
            String field = line.trim();
            if (FIELDS.stream().noneMatch(field::startsWith)) {
                broken.add(id + " holds the line '" + field + "' after event " + lastId);
            } else if (field.startsWith("id: ")) {
                int number = Integer.parseInt(field.substring(4));
                if (number != lastId + 1) {
                    broken.add(id + " holds event " + number + " after event " + lastId);
                }
                lastId = number;
                first = first.isEmpty() ? id : first;
            } else if (field.startsWith("data: ")) {
                versions.add(field.substring(6).split(" ")[0]);
            }
        }
    }

    /** Judges what is left of an answer: a part of an event, or a plain body. */
    private void judgeText(StringBuilder text, String id) {
        if (!streams() && !FaultyServer.BODY.startsWith(text.toString())) {
            broken.add(id + " holds a foreign body of " + text.length() + " bytes");
        }
    }
}
