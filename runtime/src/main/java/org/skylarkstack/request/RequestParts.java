package org.skylarkstack.request;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.schedule.Placer;

/**
 * Parts that every completion request uses.
 *
 * @param vmId this VM
 * @param ids makes request ids
 * @param configuration the configuration in force
 * @param limiter the teams' limits
 * @param placer finds engines
 * @param engines calls engines
 * @param canceller cancels on engines in the background
 * @param quarantine the engines to avoid for a short time
 * @param retryBudget counts requests
 * @param retryPolicy decides about further attempts
 * @param suspects the crash suspects
 * @param suspectRuns the rights to run a suspect once more
 * @param crashReporter shares suspects with the peers
 * @param counters the counters of the request path
 * @param time the time source
 */
public record RequestParts(String vmId, RequestIds ids, ConfigurationHolder configuration, TeamLimiter limiter,
		Placer placer, EngineClient engines, EngineCanceller canceller, EngineQuarantine quarantine,
		RetryBudget retryBudget, RetryPolicy retryPolicy, CrashSuspects suspects, SuspectRuns suspectRuns,
		CrashReporter crashReporter, RequestCounters counters, TimeSource time) {

}
