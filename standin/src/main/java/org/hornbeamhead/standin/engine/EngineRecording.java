package org.hornbeamhead.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.hornbeamhead.daemon.Json;

/** The events of one request, kept so that a cut stream can be resumed from any of them. */
final class EngineRecording implements EngineSink {
    private final EngineRequest request;
    private final Runnable unwatched;
    private final List<String> events = new ArrayList<>();
    private final Set<EngineStream> readers = new HashSet<>();
    private int cachedTokens;
    private boolean ended;

    /**
     * Makes an empty recording.
     *
     * @param request the request
     * @param unwatched called when the last reader has gone before the end
     */
    EngineRecording(EngineRequest request, Runnable unwatched) {
        this.request = request;
        this.unwatched = unwatched;
    }

    @Override
    public void prefilled(int cached) {
        cachedTokens = cached;
    }

    @Override
    public void token(int index, String text) {
        ObjectNode chunk = chunk();
        ObjectNode choice = chunk.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta").put("content", text);
        choice.putNull("finish_reason");
        add(Json.write(chunk));
    }

    @Override
    public void finished() {
        ObjectNode last = chunk();
        ObjectNode choice = last.putArray("choices").addObject();
        choice.put("index", 0);
        choice.putObject("delta");
        choice.put("finish_reason", "length");
        add(Json.write(last));
        ObjectNode counts = chunk();
        counts.putArray("choices");
        ObjectNode usage = counts.putObject("usage");
        int generated = request.maxTokens() - request.firstToken();
        usage.put("prompt_tokens", request.promptTokens());
        usage.put("completion_tokens", generated);
        usage.put("total_tokens", request.promptTokens() + generated);
        usage.putObject("prompt_tokens_details").put("cached_tokens", cachedTokens);
        add(Json.write(counts));
        ended = true;
        add("[DONE]");
    }

    private ObjectNode chunk() {
        ObjectNode chunk = Json.object();
        chunk.put("id", "chatcmpl-" + request.id());
        chunk.put("object", "chat.completion.chunk");
        return chunk;
    }

    private void add(String data) {
        events.add("id: " + events.size() + "\ndata: " + data + "\n\n");
        List.copyOf(readers).forEach(EngineStream::wake);
    }

    void attach(EngineStream reader) {
        readers.add(reader);
    }

    void detach(EngineStream reader) {
        if (readers.remove(reader) && readers.isEmpty() && !ended) {
            unwatched.run();
        }
    }

    void fault(EngineFaults faults) {
        readers.forEach(r -> r.fault(faults));
    }

    boolean isWatched() {
        return !readers.isEmpty();
    }

    String event(int index) {
        return events.get(index);
    }

    boolean isEndMark(int index) {
        return ended && index == events.size() - 1;
    }

    int size() {
        return events.size();
    }

    boolean ended() {
        return ended;
    }

    String id() {
        return request.id();
    }
}
