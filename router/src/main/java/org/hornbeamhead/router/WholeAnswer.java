package org.hornbeamhead.router;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.activej.promise.Promise;
import org.hornbeamhead.daemon.Json;

/** Puts a streamed answer together for a caller that wants it in one piece. */
final class WholeAnswer {
    private final ModelRequest request;
    private final StringBuilder text = new StringBuilder();
    private String finishReason = "";
    private ObjectNode usage = Json.object();

    WholeAnswer(ModelRequest request) {
        this.request = request;
    }

    Promise<ObjectNode> collect(EngineExchange exchange, EngineEvent event) {
        if (event == null) {
            return Promise.of(answer());
        }
        add(event);
        return exchange.next().then(next -> collect(exchange, next));
    }

    private void add(EngineEvent event) {
        text.append(event.text());
        if (!event.finishReason().isEmpty()) {
            finishReason = event.finishReason();
        }
        if (event.hasUsage()) {
            usage = (ObjectNode) event.json().get("usage");
        }
    }

    private ObjectNode answer() {
        ObjectNode answer = Json.object();
        answer.put("id", "chatcmpl-" + request.id());
        answer.put("object", request.isChat() ? "chat.completion" : "text_completion");
        answer.put("model", request.pool().model());
        ObjectNode choice = answer.putArray("choices").addObject();
        choice.put("index", 0);
        if (request.isChat()) {
            choice.putObject("message").put("role", "assistant").put("content", text.toString());
        } else {
            choice.put("text", text.toString());
        }
        choice.put("finish_reason", finishReason);
        answer.set("usage", usage);
        return answer;
    }
}
