package org.hornbeamhead.standin.engine;

import io.activej.bytebuf.ByteBuf;
import io.activej.csp.supplier.AbstractChannelSupplier;
import io.activej.promise.Promise;
import io.activej.promise.SettablePromise;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;

/** One connection's view of a stream: what was recorded for the request, from a number on. */
final class EngineStream extends AbstractChannelSupplier<ByteBuf> {
    private final EngineRecording recording;
    private final Deque<String> extra = new ArrayDeque<>();
    private EngineFaults faults;
    private int next;
    private int sent;
    private SettablePromise<ByteBuf> pending;

    EngineStream(EngineRecording recording, int from, EngineFaults faults) {
        this.recording = recording;
        this.next = from;
        this.faults = faults;
        recording.attach(this);
    }

    @Override
    protected Promise<ByteBuf> doGet() {
        if (faults.cutAfter() >= 0 && sent >= faults.cutAfter()) {
            IOException cut = new IOException("cut by a fault");
            closeEx(cut);
            return Promise.ofException(cut);
        }
        if (faults.silent()) {
            return new SettablePromise<>();
        }
        if (!extra.isEmpty()) {
            return event(extra.poll());
        }
        if (next < recording.size()) {
            return event(nextEvent());
        }
        if (recording.ended()) {
            return Promise.of(null);
        }
        pending = new SettablePromise<>();
        return pending;
    }

    private Promise<ByteBuf> event(String text) {
        sent++;
        return Promise.of(ByteBuf.wrapForReading(text.getBytes(StandardCharsets.UTF_8)));
    }

    private String nextEvent() {
        if (faults.noEnd() && recording.isEndMark(next)) {
            next++;
            return ": no end\n\n";
        }
        if (faults.swap() && next + 1 < recording.size() && !recording.isEndMark(next + 1)) {
            extra.add(recording.event(next));
            next += 2;
            return recording.event(next - 1);
        }
        String text = recording.event(next++);
        if (faults.duplicate()) {
            extra.add(text);
        }
        return faults.crossed() ? text.replace(recording.id(), "somebody-elses") : text;
    }

    void fault(EngineFaults changed) {
        faults = changed;
    }

    /** Wakes a waiting reader. */
    void wake() {
        SettablePromise<ByteBuf> waiting = pending;
        if (waiting != null) {
            pending = null;
            doGet().subscribe((buf, e) -> {
                if (e == null) {
                    waiting.trySet(buf);
                } else {
                    waiting.trySetException(e);
                }
            });
        }
    }

    @Override
    protected void onClosed(Exception e) {
        recording.detach(this);
    }

    @Override
    protected void onCleanup() {
        recording.detach(this);
    }
}
