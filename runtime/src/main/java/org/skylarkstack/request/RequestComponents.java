package org.skylarkstack.request;

import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.schedule.Placer;

/**
 * Components that every completion request uses.
 *
 * @param vmId the id of this VM
 * @param ids generates request ids
 * @param configuration the current configuration
 * @param limiter enforces the teams' token limits
 * @param placer picks the engines of an attempt
 * @param engines calls engines
 * @param canceller cancels requests on engines in the background
 * @param quarantine the engines to avoid for a short time
 * @param retryBudget counts the requests that its retry share is taken from
 * @param retryPolicy decides whether a failed attempt is followed by another
 * @param suspects the requests that crashed engines
 * @param suspectRunGrants grants the right to run a suspect once more
 * @param crashReporter shares crash suspects with the peers
 * @param shutdownAdmission refuses work that a shutdown would end
 * @param counters the counters of the request path
 * @param time the time source
 */
public record RequestComponents(String vmId, RequestIds ids, ConfigurationHolder configuration, TeamLimiter limiter,
		Placer placer, EngineClient engines, EngineCanceller canceller, EngineQuarantine quarantine,
		RetryBudget retryBudget, RetryPolicy retryPolicy, CrashSuspects suspects, SuspectRunGrants suspectRunGrants,
		CrashReporter crashReporter, ShutdownAdmission shutdownAdmission, RequestCounters counters, TimeSource time) {

}
