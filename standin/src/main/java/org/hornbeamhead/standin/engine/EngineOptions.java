package org.hornbeamhead.standin.engine;

import java.time.Duration;

/**
 * What a stand-in engine serves, and how.
 *
 * @param software the name of the version of its software
 * @param model the model's name
 * @param weights the version of the weights at the start
 * @param speed how fast it is
 * @param reportLag how old a load report may be
 * @param checksFence whether orders with an old fencing number are refused
 * @param weightStore the weight store's address; empty to load at once
 * @param resumeGrace how long a request goes on after its reader was cut off
 */
public record EngineOptions(
        String software,
        String model,
        String weights,
        EngineSpeed speed,
        Duration reportLag,
        boolean checksFence,
        String weightStore,
        Duration resumeGrace) {}
