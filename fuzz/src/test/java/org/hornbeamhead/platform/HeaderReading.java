package org.hornbeamhead.platform;

import java.util.Arrays;
import java.util.List;
import org.hornbeamhead.core.http.Header;
import org.hornbeamhead.core.http.Headers;
import org.hornbeamhead.core.http.ResponseHead;

/** Reads lines of text as the headers of a replica's answer. */
public final class HeaderReading {
    private HeaderReading() {}

    /** Fails when the reader throws where it should report, or takes what is no number for a limit. */
    public static void read(String text) {
        List<Header> lines = Arrays.stream(text.split("\n", -1))
                .map(l -> l.split(":", 2))
                .map(l -> new Header(l[0], l.length > 1 ? l[1] : ""))
                .toList();
        new PlatformHeaderCodec()
                .decodeResponse(new ResponseHead(200, new Headers(lines), true), "r1")
                .requestLimit()
                .forEach(limit -> limit.ifPresent(HeaderReading::checkLimit));
    }

    private static void checkLimit(double limit) {
        if (!(limit >= 0) || Double.isInfinite(limit)) {
            throw new AssertionError("a limit of " + limit + " a second");
        }
    }
}
