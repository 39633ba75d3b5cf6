import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;

/**
 * An answer as a server writes it. Immutable.
 *
 * @param id The identifier of the request.
 * @param stamp The stamp of the run; empty if the request was rejected without running.
 * @param reason The reason phrase.
 * @param headers The headers in the order in which they are written, without those of the framing.
 * @param headerBeforeFraming The number of headers that precede the one of the framing.
 * @param parts The body, in the parts in which it is written.
 * @param chunked Whether the body is written in chunks, one for each part.
 */
record WrittenAnswer(
        String id,
        String stamp,
        int status,
        String reason,
        List<Map.Entry<String, String>> headers,
        int headerBeforeFraming,
        List<String> parts,
        boolean chunked) {

    String body() {
        return String.join("", parts);
    }

    /** Returns the values that the server wrote for a header. */
    List<String> values(String name) {
        return headers.stream()
                .filter(header -> header.getKey().equalsIgnoreCase(name))
                .map(Map.Entry::getValue)
                .toList();
    }

    /** Returns the same answer without a header. */
    WrittenAnswer without(String name) {
        List<Map.Entry<String, String>> others = headers.stream()
                .filter(header -> !header.getKey().equalsIgnoreCase(name))
                .toList();
        return new WrittenAnswer(
                id, stamp, status, reason, others, Math.min(headerBeforeFraming, others.size()), parts, chunked);
    }

    byte[] head() {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " " + reason + "\r\n");
        List<Map.Entry<String, String>> all = new ArrayList<>(headers);
        all.add(headerBeforeFraming, framing());
        all.forEach(header ->
                head.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
        return ascii(head + "\r\n");
    }

    private Map.Entry<String, String> framing() {
        return chunked
                ? Map.entry("Transfer-Encoding", "chunked")
                : Map.entry("Content-Length", Integer.toString(body().length()));
    }

    /** Returns what is written in the body's place, one array for each write. */
    List<byte[]> framedParts() {
        if (!chunked) {
            return List.of(ascii(body()));
        }
        List<byte[]> framed = new ArrayList<>();
        for (String part : parts) {
            framed.add(ascii(Integer.toHexString(part.length()) + "\r\n" + part + "\r\n"));
        }
        framed.add(ascii("0\r\n\r\n"));
        return framed;
    }

    byte[] bytes() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(head());
        framedParts().forEach(bytes::writeBytes);
        return bytes.toByteArray();
    }

    /** Returns the first bytes of the answer. */
    byte[] firstBytes(int length) {
        return Arrays.copyOf(bytes(), length);
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
