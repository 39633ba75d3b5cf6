import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * An answer as a caller reads it, with each header in its place.
 *
 * @param startLine The first line, empty if the connection ended before it.
 * @param complete Whether the answer has ended by its framing.
 */
record ReceivedAnswer(String startLine, List<Map.Entry<String, String>> headers, String body, boolean complete) {

    private static final int SHOWN_CHARACTERS = 400;

    /** An answer that is no answer in the protocol. */
    static final class MalformedAnswerException extends IOException {

        private static final long serialVersionUID = 1L;

        MalformedAnswerException(String line) {
            super("no answer in the protocol: " + line);
        }
    }

    /** Reads an answer; one that breaks off is not complete. */
    static ReceivedAnswer read(InputStream input) throws IOException {
        String startLine = line(input);
        if (startLine == null) {
            return new ReceivedAnswer("", List.of(), "", false);
        }
        if (!startLine.matches("HTTP/1\\.1 [1-9][0-9][0-9]( .*)?")) {
            throw new MalformedAnswerException(startLine);
        }
        List<Map.Entry<String, String>> headers = new ArrayList<>();
        String header = line(input);
        while (header != null && !header.isEmpty()) {
            headers.add(header(header));
            header = line(input);
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        boolean complete = header != null && readBody(input, headers, body);
        return new ReceivedAnswer(startLine, headers, body.toString(StandardCharsets.ISO_8859_1), complete);
    }

    /** Returns the answer in one line, without the end of a long body. */
    String describe() {
        String text = body.replace("\r", "\\r").replace("\n", "\\n");
        return startLine + " " + headers + (complete ? " complete" : " broken off") + " with " + body.length() + " bytes: "
                + text.substring(0, Math.min(text.length(), SHOWN_CHARACTERS));
    }

    int status() {
        return startLine.isEmpty() ? 0 : Integer.parseInt(startLine.split(" ")[1]);
    }

    List<String> values(String name) {
        return values(headers, name);
    }

    String value(String name) {
        return values(name).stream().findFirst().orElse("");
    }

    private static List<String> values(List<Map.Entry<String, String>> headers, String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .toList();
    }

    private static Map.Entry<String, String> header(String line) throws MalformedAnswerException {
        int colon = line.indexOf(':');
        if (colon < 1) {
            throw new MalformedAnswerException(line);
        }
        return Map.entry(line.substring(0, colon), line.substring(colon + 1).trim());
    }

    /** Reads a body, and returns whether it has ended by its framing. */
    private static boolean readBody(
            InputStream input, List<Map.Entry<String, String>> headers, ByteArrayOutputStream body) throws IOException {
        if (values(headers, "Transfer-Encoding").contains("chunked")) {
            return readChunks(input, body);
        }
        List<String> lengths = values(headers, "Content-Length");
        if (lengths.size() != 1) {
            throw new MalformedAnswerException("lengths " + lengths);
        }
        return readExactly(input, Integer.parseInt(lengths.get(0)), body);
    }

    private static boolean readChunks(InputStream input, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(input);
            if (size == null) {
                return false;
            }
            if (!size.matches("[0-9a-fA-F]+")) {
                throw new MalformedAnswerException("chunk of size " + size);
            }
            int length = Integer.parseInt(size, 16);
            if (!readExactly(input, length, body)) {
                return false;
            }
            String end = line(input);
            if (end == null || length == 0) {
                return end != null;
            }
        }
    }

    private static boolean readExactly(InputStream input, int length, ByteArrayOutputStream body) throws IOException {
        byte[] bytes = input.readNBytes(length);
        body.writeBytes(bytes);
        return bytes.length == length;
    }

    /** Returns a line without its end, or null if the connection ends before it. */
    private static String line(InputStream input) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = input.read(); next >= 0; next = input.read()) {
            if (next == '\n') {
                return line.toString().replaceAll("\r$", "");
            }
            line.append((char) next);
        }
        return null;
    }
}
