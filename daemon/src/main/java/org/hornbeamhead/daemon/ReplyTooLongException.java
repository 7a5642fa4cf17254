package org.hornbeamhead.daemon;

import java.io.IOException;

/** An answer is longer than its caller accepts. */
public final class ReplyTooLongException extends IOException {
    private static final long serialVersionUID = 1L;

    ReplyTooLongException(int maxBytes) {
        super("the answer has more than " + maxBytes + " bytes");
    }
}
