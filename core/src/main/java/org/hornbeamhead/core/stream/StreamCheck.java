package org.hornbeamhead.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Lets through exactly the events of one request, once each and in order.
 *
 * <p>Failure: an answer of another request, an event twice, or a stream cut short reaches the caller as if it were
 * whole. Symptom: a tenant reads another's letter, or half a verdict. Each event is matched by request and number; what
 * is early waits, what was seen is dropped, and the end counts only after every number before it.
 */
public final class StreamCheck {
    private static final int EARLY_LIMIT = 64;

    private final String requestId;
    private final Map<Long, StreamEvent> early = new HashMap<>();
    private long next;
    private boolean complete;

    /**
     * Makes a check that has seen nothing.
     *
     * @param requestId the request and attempt whose events are let through
     */
    public StreamCheck(String requestId) {
        this.requestId = requestId;
    }

    /**
     * Takes in an event.
     *
     * @param event the event
     * @return the events that may now be passed on, in order
     * @throws CorruptStreamException when the event cannot belong to this stream; nothing of it may be passed on
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
        if (early.size() >= EARLY_LIMIT) {
            throw new CorruptStreamException("event " + next + " is missing in stream of " + requestId);
        }
        early.putIfAbsent(event.sequence(), event);
        return release();
    }

    private List<StreamEvent> release() {
        List<StreamEvent> ready = new ArrayList<>();
        for (StreamEvent e = early.remove(next); e != null; e = early.remove(next)) {
            ready.add(e);
            next++;
            complete = e.end();
            if (complete) {
                early.clear();
            }
        }
        return ready;
    }

    /** Forgets events that came early, before a resume from {@link #next}. */
    public void resume() {
        early.clear();
    }

    /**
     * Returns the number of the next event to pass on, which is where a resume starts.
     *
     * @return events passed on so far
     */
    public long next() {
        return next;
    }

    /**
     * Tells whether the whole stream was passed on.
     *
     * @return true after the end mark
     */
    public boolean isComplete() {
        return complete;
    }
}
