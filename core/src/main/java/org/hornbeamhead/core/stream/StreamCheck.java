package org.hornbeamhead.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Filters a stream to the events of one request, each once and in order.
 *
 * <p>Guards against events of another request, duplicate events and truncated streams, through which a customer could
 * read another customer's data or take a partial answer for a complete one. Events are matched by request and number:
 * early ones are buffered, duplicates are dropped, and the end mark counts only after all preceding numbers.
 */
public final class StreamCheck {
    private static final int MAX_PENDING = 64;

    private final String requestId;
    private final Map<Long, StreamEvent> pending = new HashMap<>();
    private long next;
    private boolean complete;

    /**
     * Creates a check for a new stream.
     *
     * @param requestId the request and attempt whose events are accepted
     */
    public StreamCheck(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Processes an event.
     *
     * @param event the event
     * @return the events that can now be forwarded, in order
     * @throws CorruptStreamException if the event cannot belong to this stream; it must not be forwarded
     */
    public List<StreamEvent> accept(StreamEvent event) throws CorruptStreamException {
        if (!event.requestId().isEmpty() && !event.requestId().equals(requestId)) {
            throw new CorruptStreamException("event of request " + event.requestId() + " in stream of " + requestId);
        }
        if (event.sequence() < 0) {
            throw new CorruptStreamException("event without a number in stream of " + requestId);
        }
        if (complete || event.sequence() < next) {
            return List.of();
        }
        if (pending.size() >= MAX_PENDING) {
            throw new CorruptStreamException("event " + next + " is missing in stream of " + requestId);
        }
        pending.putIfAbsent(event.sequence(), event);
        return release();
    }

    private List<StreamEvent> release() {
        List<StreamEvent> ready = new ArrayList<>();
        for (StreamEvent e = pending.remove(next); e != null; e = pending.remove(next)) {
            ready.add(e);
            next++;
            complete = e.end();
            if (complete) {
                pending.clear();
            }
        }
        return ready;
    }

    /** Discards buffered early events before a resume from {@link #next}. */
    public void resume() {
        pending.clear();
    }

    /**
     * Returns the number of the next event to forward, from which a resume starts.
     *
     * @return the number of events forwarded so far
     */
    public long next() {
        return next;
    }

    /**
     * Returns whether the complete stream was forwarded.
     *
     * @return true after the end mark was forwarded
     */
    public boolean isComplete() {
        return complete;
    }
}
