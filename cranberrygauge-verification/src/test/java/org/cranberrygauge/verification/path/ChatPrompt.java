package org.cranberrygauge.verification.path;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.stream.Stream;
import org.cranberrygauge.emulator.engine.TokenText;

/** A chat request whose answer the emulated engine derives from the prompt. */
record ChatPrompt(String text, int outputTokens) {

    String body(boolean stream) {
        return json().put("stream", stream).encode();
    }

    JsonObject json() {
        JsonObject message = new JsonObject().put("role", "user").put("content", text);
        return new JsonObject()
                .put("model", InProcessConfiguration.MODEL)
                .put("messages", new JsonArray().add(message))
                .put("metadata", new JsonObject().put("output_tokens", String.valueOf(outputTokens)));
    }

    String wholeAnswer() {
        return TokenText.answer(TokenText.digest(text + "\n"), outputTokens);
    }

    static String contentOf(HttpResponse<String> answer) {
        return new JsonObject(answer.body())
                .getJsonArray("choices")
                .getJsonObject(0)
                .getJsonObject("message")
                .getString("content");
    }

    /** Reads a stream of server-sent events to its end. */
    static Transcript read(Stream<String> lines) {
        Transcript transcript = new Transcript(new StringBuilder(), new StringBuilder(), new StringBuilder());
        Iterator<String> iterator = lines.iterator();
        boolean error = false;
        while (iterator.hasNext()) {
            String line = iterator.next();
            error |= line.equals("event: error");
            if (line.startsWith("data: ") && error) {
                transcript.error().append(line.substring(6));
            } else if (line.equals("data: [DONE]")) {
                transcript.end().append("done");
            } else if (line.startsWith("data: ")) {
                transcript.text().append(contentOfFrame(new JsonObject(line.substring(6))));
            }
        }
        return transcript;
    }

    private static String contentOfFrame(JsonObject frame) {
        JsonObject delta = frame.getJsonArray("choices").getJsonObject(0).getJsonObject("delta");
        return delta.getString("content", "");
    }

    /** The content, the error and the end marker of a stream. */
    record Transcript(StringBuilder text, StringBuilder error, StringBuilder end) {}
}
