package org.hornbeamhead.platform;

import org.hornbeamhead.core.mirror.StoreItem;

/** Reads one text as each of the documents of the platform's store. */
public final class DocumentReading {
    private DocumentReading() {}

    /** Fails when a reader throws where it should report. */
    public static void read(String text) {
        PlatformDocumentReader reader = new PlatformDocumentReader();
        reader.parseConfiguration(new StoreItem("op/config", 1, text, false));
        reader.parseWeights(new StoreItem("op/version/m", 1, text, false));
        reader.parseReplica(new StoreItem("servers/i", 1, text, false));
    }
}
