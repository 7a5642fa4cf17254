package org.hornbeamhead.platform;

import org.hornbeamhead.core.mirror.StoreItem;

/** Reads one text as each of the documents of the platform's store. */
public final class DocumentReading {
    private DocumentReading() {}

    /** Fails when a reader throws where it should report. */
    public static void read(String text) {
        PlatformDocumentReader reader = new PlatformDocumentReader();
        reader.configuration(new StoreItem("op/config", 1, text, false));
        reader.weights(new StoreItem("op/version/m", 1, text, false));
        reader.replica(new StoreItem("servers/i", 1, text, false));
    }
}
