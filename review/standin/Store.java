package standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A stand-in of the platform's store: topics of one partition, conditional appends, waiting reads, newest values, groups,
 * and the header with its era. It can be away, and come back from a copy. Thread-safe.
 */
public final class Store {

    private static final int PAGE = 500;

    private final Map<String, List<byte[]>> topics = new HashMap<>();

    private final Map<String, Group> groups = new HashMap<>();

    private long era = 1;

    private boolean away;

    private final HttpPeer.Server server;

    public Store() throws IOException {
        server = HttpPeer.serve(this::handle);
    }

    public String address() {
        return server.address();
    }

    /** Writes a record with a key, as the operator and the workers do; without a value the key is dropped. */
    public synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] content = value.getBytes(StandardCharsets.UTF_8);
        ByteBuffer record = ByteBuffer.allocate(1 + name.length + content.length);
        record.put((byte) name.length).put(name).put(content);
        records(topic).add(record.array());
        notifyAll();
    }

    /** Returns how many records a topic has. */
    public synchronized int size(String topic) {
        return records(topic).size();
    }

    /** Returns what the store holds now. */
    public synchronized Copy copy() {
        Map<String, List<byte[]>> copied = new HashMap<>();
        topics.forEach((name, records) -> copied.put(name, new ArrayList<>(records)));
        Map<String, Group> copiedGroups = new HashMap<>();
        groups.forEach((name, group) -> copiedGroups.put(name, group.copy()));
        return new Copy(copied, copiedGroups);
    }

    /** Turns all calls away with 503: nothing is done. */
    public synchronized void leave() {
        away = true;
    }

    /** Comes back from a copy: what was written since is lost, and the era rises by one. */
    public synchronized void comeBackFrom(Copy copy) {
        topics.clear();
        copy.topics().forEach((name, records) -> topics.put(name, new ArrayList<>(records)));
        groups.clear();
        copy.groups().forEach((name, group) -> groups.put(name, group.copy()));
        era++;
        away = false;
        notifyAll();
    }

    private List<byte[]> records(String topic) {
        return topics.computeIfAbsent(topic, name -> new ArrayList<>());
    }

    private void handle(HttpPeer.Message request, Socket connection) throws IOException {
        Reply reply = reply(request);
        HttpPeer.answer(
                connection,
                reply.status(),
                Map.of("Store-Era", Long.toString(reply.era()), "Content-Type", reply.type()),
                reply.body());
    }

    private synchronized Reply reply(HttpPeer.Message request) {
        if (away) {
            return json(503, "{}");
        }
        Map<String, String> query = request.query();
        return switch (request.path()) {
            case "/api/log-append" -> append(query, request.body);
            case "/api/log-read" -> read(query);
            case "/api/log-newest" -> newest(query);
            case "/api/log-join" -> join(request.text());
            case "/api/log-leave" -> leaveGroup(request.text());
            default -> json(404, "{}");
        };
    }

    private Reply append(Map<String, String> query, byte[] body) {
        List<byte[]> records = records(query.get("topic"));
        int end = records.size();
        if (query.containsKey("at") && Long.parseLong(query.get("at")) != end) {
            return json(412, "{\"end\":" + end + "}");
        }
        ByteBuffer framed = ByteBuffer.wrap(body);
        while (framed.remaining() >= 4) {
            byte[] record = new byte[framed.getInt()];
            framed.get(record);
            records.add(record);
        }
        notifyAll();
        return json(200, "{\"offset\":" + end + ",\"end\":" + records.size() + "}");
    }

    private Reply read(Map<String, String> query) {
        String topic = query.get("topic");
        int from = Integer.parseInt(query.get("from"));
        long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
        while (!away && from == records(topic).size() && System.nanoTime() < end) {
            try {
                wait(10);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        if (away) {
            return json(503, "{}");
        }
        List<byte[]> records = records(topic);
        if (from > records.size()) {
            return json(410, "{\"first\":0}");
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
        for (byte[] record : records.subList(from, records.size())) {
            body.writeBytes(ByteBuffer.allocate(4).putInt(record.length).array());
            body.writeBytes(record);
        }
        return new Reply(200, era, "application/octet-stream", body.toByteArray());
    }

    private Reply newest(Map<String, String> query) {
        TreeMap<String, String> items = new TreeMap<>();
        List<byte[]> records = records(query.get("topic"));
        for (int offset = 0; offset < records.size(); offset++) {
            byte[] record = records.get(offset);
            int length = record[0] & 0xff;
            String key = new String(record, 1, length, StandardCharsets.UTF_8);
            byte[] value = Arrays.copyOfRange(record, 1 + length, record.length);
            if (value.length == 0) {
                items.remove(key);
            } else {
                String encoded = Base64.getEncoder().encodeToString(value);
                items.put(key, "{\"key\":\"" + key + "\",\"value\":\"" + encoded + "\",\"offset\":" + offset + "}");
            }
        }
        List<String> page = new ArrayList<>(
                query.containsKey("after") ? items.tailMap(query.get("after"), false).values() : items.values());
        boolean more = page.size() > PAGE;
        String listed = String.join(",", more ? page.subList(0, PAGE) : page);
        return json(200, "{\"items\":[" + listed + "],\"has_more\":" + more + ",\"end\":" + records.size() + "}");
    }

    private Reply join(String body) {
        Group group = groups.computeIfAbsent(field(body, "group"), name -> new Group());
        group.expire();
        String member = field(body, "member");
        group.join(member, Long.parseLong(field(body, "ttl_ms")));
        String parts = member.equals(group.owner) ? "[[\"" + field(body, "group") + "\",0,0]]" : "[]";
        return json(200, "{\"generation\":" + group.generation + ",\"parts\":" + parts + "}");
    }

    private Reply leaveGroup(String body) {
        Group group = groups.computeIfAbsent(field(body, "group"), name -> new Group());
        group.remove(field(body, "member"));
        return json(200, "{}");
    }

    private Reply json(int status, String body) {
        return new Reply(status, era, "application/json", body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns a string or number of a flat JSON object. */
    static String field(String json, String name) {
        Matcher matcher = Pattern.compile("\"" + name + "\"\\s*:\\s*(?:\"([^\"]*)\"|([0-9.]+))")
                .matcher(json);
        if (!matcher.find()) {
            throw new IllegalArgumentException(name + " is missing in " + json);
        }
        return matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
    }

    private record Reply(int status, long era, String type, byte[] body) {}

    /** What the store held at one time. */
    public record Copy(Map<String, List<byte[]>> topics, Map<String, Group> groups) {}

    /** The members of a group, of which one holds the only partition; a new one holds it once the former has left or expired. */
    public static final class Group {

        private final LinkedHashMap<String, Long> expiryNanos = new LinkedHashMap<>();

        private String owner = "";

        private long generation;

        private Group copy() {
            Group copy = new Group();
            copy.expiryNanos.putAll(expiryNanos);
            copy.owner = owner;
            copy.generation = generation;
            return copy;
        }

        private void join(String member, long ttlMillis) {
            if (expiryNanos.put(member, System.nanoTime() + ttlMillis * 1_000_000) == null) {
                generation++;
            }
            assign();
        }

        private void expire() {
            long now = System.nanoTime();
            List<String> expired = new ArrayList<>();
            expiryNanos.forEach((member, nanos) -> {
                if (nanos < now) {
                    expired.add(member);
                }
            });
            expired.forEach(this::remove);
        }

        private void remove(String member) {
            if (expiryNanos.remove(member) != null) {
                generation++;
                assign();
            }
        }

        private void assign() {
            if (!expiryNanos.containsKey(owner)) {
                owner = expiryNanos.keySet().stream().findFirst().orElse("");
            }
        }
    }
}
