package org.hornbeamhead.platform;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;
import org.hornbeamhead.core.http.RetryAfter;
import org.hornbeamhead.core.load.LoadStatement;
import org.hornbeamhead.gateway.dispatch.ReplicaResponseInfo;

/** Reads lines of text as the headers of a replica's answer. */
public final class HeaderReading {
    private HeaderReading() {}

    /** Fails when the reader throws where it should report, or takes what is no number for a limit or a pause. */
    public static void read(String text) {
        List<Header> lines = Arrays.stream(text.split("\n", -1))
                .map(l -> l.split(":", 2))
                .map(l -> new Header(l[0], l.length > 1 ? l[1] : ""))
                .toList();
        IntStream.of(200, 429, 503).forEach(status -> check(new ResponseHead(status, new Headers(lines), true)));
    }

    private static void check(ResponseHead head) {
        ReplicaResponseInfo info = new PlatformHeaderCodec().decodeResponse(head, "r1");
        info.requestLimit().forEach(limit -> limit.ifPresent(HeaderReading::checkLimit));
        info.availability().backOffMillis().forEach(millis -> millis.ifPresent(HeaderReading::checkPause));
        info.load().forEach(load -> load.ifPresent(HeaderReading::checkPace));
        boolean saysOne = head.headers().all(PlatformHeaderCodec.LEAVING).equals(List.of("1"));
        if (info.availability().leaving().contains(true) != saysOne) {
            throw new AssertionError("leaving by " + head.headers().all(PlatformHeaderCodec.LEAVING));
        }
    }

    private static void checkLimit(double limit) {
        if (!(limit >= 0) || Double.isInfinite(limit)) {
            throw new AssertionError("a limit of " + limit + " a second");
        }
    }

    private static void checkPace(LoadStatement load) {
        if (!(load.pace() > 0) || load.pace() > LoadStatement.MAX_PACE_PERCENT / 100.0) {
            throw new AssertionError("a pace of " + load.pace());
        }
    }

    private static void checkPause(long millis) {
        if (millis < 1 || millis > RetryAfter.MAX_MILLIS) {
            throw new AssertionError("a pause of " + millis + " ms");
        }
    }
}
