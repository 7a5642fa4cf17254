package org.hornbeamhead.router;

import java.util.List;
import org.hornbeamhead.core.outcome.Outcome;
import org.hornbeamhead.core.settings.Finding;

/**
 * Why a request gets no endpoint's answer.
 *
 * @param status the HTTP status
 * @param outcome not run, or unknown
 * @param findings what is wrong with the request; empty when nothing is
 */
public record Refusal(int status, Outcome outcome, List<Finding> findings) {
    /** Copies the findings, so that the refusal cannot change. */
    public Refusal {
        findings = List.copyOf(findings);
    }
}
