package org.hornbeamhead.soak.history;

/** The kinds of requests that callers send; the name in small letters is the route's. */
public enum RequestKind {
    /** May be repeated. */
    SAFE,
    /** May run at most once. */
    ONCE,
    /** May run at most once, at a service that configurations change. */
    MOVED,
    /** A stream that may not be resumed. */
    STREAM,
    /** A stream that may be resumed. */
    RESUME;

    private static final int EVENTS = 6;

    /**
     * Tells whether the answer is a series of events.
     *
     * @return whether it is
     */
    public boolean streams() {
        return this == STREAM || this == RESUME;
    }

    /**
     * Tells whether a request may run more than once.
     *
     * @return whether it may
     */
    public boolean repeatable() {
        return this == SAFE || this == RESUME;
    }

    /**
     * Gives the only whole answer of a request.
     *
     * @param id the request
     * @return the body
     */
    public String answer(String id) {
        return streams() ? eventsAfter(id, 0) : "answer to " + id;
    }

    /**
     * Gives what is left of a stream.
     *
     * @param id the request
     * @param last the last event that the caller has, 0 before the first
     * @return the events
     */
    public static String eventsAfter(String id, int last) {
        StringBuilder events = new StringBuilder();
        for (int e = last + 1; e <= EVENTS; e++) {
            events.append(event(id, e));
        }
        return events.toString();
    }

    /**
     * Gives one event of a stream.
     *
     * @param id the request
     * @param number the event's number, from 1
     * @return the event
     */
    public static String event(String id, int number) {
        return "id: " + number + "\ndata: " + id + "-" + number + "\n\n";
    }

    /**
     * Gives one event of a stream with a comment that tells who wrote it.
     *
     * @param id the request
     * @param number the event's number, from 1
     * @param writer the version of the replica's software
     * @return the event
     */
    public static String event(String id, int number, String writer) {
        return event(id, number).replace("\ndata: ", "\n: " + writer + "\ndata: ");
    }

    /**
     * Counts the events of a stream.
     *
     * @return the number
     */
    public static int events() {
        return EVENTS;
    }
}
