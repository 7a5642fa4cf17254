package org.hornbeamhead.soak.promise;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.hornbeamhead.soak.history.History;

/** All promises that a run checks. */
public final class Promises {
    private final Map<String, Check> checks = new LinkedHashMap<>();

    /**
     * Makes the checks.
     *
     * @param isolated the customers who share no cached part
     */
    public Promises(Set<String> isolated) {
        checks.put("own answers", AnswerChecks::ownAnswers);
        checks.put("own parts", ResumeChecks::ownParts);
        checks.put("one software a stream", ResumeChecks::oneSoftwareAStream);
        checks.put("resumed streams go on", ResumeChecks::resumedStreamsGoOn);
        checks.put("at most once", AnswerChecks::atMostOnce);
        checks.put("true refusals", AnswerChecks::trueRefusals);
        checks.put("nothing unasked", AnswerChecks::nothingUnasked);
        checks.put("planned stops cut nothing", AnswerChecks::plannedStopsCutNothing);
        checks.put("silence cuts nothing", SilenceChecks::silenceCutsNothing);
        checks.put("keys", StateChecks::keys);
        checks.put("configuration", StateChecks::configuration);
        checks.put("never back", StateChecks::neverBack);
        checks.put("leaving replicas", StateChecks::leavingReplicas);
        checks.put("one holder", StateChecks::oneHolder);
        checks.put("pauses between leaders", LeaderChecks::pausesBetweenLeaders);
        checks.put("isolation", h -> StateChecks.isolation(h, isolated));
        checks.put("budget", LoadChecks::budget);
        checks.put("request limits", LimitChecks::requestLimits);
        checks.put("announced leaves", AvailabilityChecks::announcedLeaves);
        checks.put("pauses", AvailabilityChecks::pauses);
        checks.put("requests that end replicas", CrashChecks::sentFewTimes);
        checks.put("sound requests beside those that end replicas", CrashChecks::soundAreServed);
        checks.put("served without a path", PathChecks::servedWithoutPath);
        checks.put("brittle replicas", BrittleChecks::brittleReplicas);
        checks.put("endless answers", EndlessChecks::endlessAnswersAreClosed);
        checks.put("service back", LoadChecks::serviceBack);
        checks.put("no uncaught errors", Promises::noUncaughtErrors);
    }

    private static Stream<Breach> noUncaughtErrors(History h) {
        return h.uncaught().stream().map(u -> new Breach("no uncaught errors", u.router() + ": " + u.line(), 0));
    }

    /**
     * Checks a run.
     *
     * @param history what was seen
     * @return the breaches in the order of their time
     */
    public List<Breach> check(History history) {
        return checks.values().stream()
                .flatMap(c -> c.breaches(history))
                .sorted(Comparator.comparingLong(Breach::at))
                .toList();
    }

    /**
     * Names the promises.
     *
     * @return their names
     */
    public Set<String> names() {
        return checks.keySet();
    }
}
