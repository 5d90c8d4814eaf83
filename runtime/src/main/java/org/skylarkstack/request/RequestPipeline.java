package org.skylarkstack.request;

import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.limit.TokenReservation;

/**
 * Runs completion requests: reserves the team's tokens, runs the attempts, and settles
 * the reservation with the tokens used.
 */
public final class RequestPipeline {

	private final RequestComponents components;

	/**
	 * Creates a pipeline.
	 * @param components the components that every request uses
	 */
	public RequestPipeline(RequestComponents components) {
		this.components = components;
	}

	/**
	 * Refuses a request that is not expected to be complete before a shutdown ends it.
	 * @param request the request, which has not run
	 * @throws RouterException if the request is refused
	 */
	public void checkTimeLeft(CompletionRequest request) {
		this.components.shutdownAdmission()
			.check(request.model(),
					() -> this.components.shutdownAdmission().completionNanos(request, 0, Verdict.NOT_RUN),
					Verdict.NOT_RUN, this.components.time().nanos());
	}

	/**
	 * Runs a request and passes its response to the sink, event by event.
	 * @param team the team whose tokens the request uses
	 * @param request the request
	 * @param cancellation ends the request early
	 * @param sink receives the response
	 * @throws RouterException if the request is refused or fails
	 * @throws CallerDisconnectedException if the caller could not be written to
	 */
	public void run(Team team, CompletionRequest request, Cancellation cancellation, ResponseSink sink) {
		cancellation.check(Verdict.NOT_RUN);
		this.components.retryBudget().recordRequest(this.components.time().nanos());
		CompletionRun run = new CompletionRun(this.components, team, request, cancellation, sink);
		TokenReservation reservation = this.components.limiter()
			.reserve(team, (long) request.promptTokens() + request.maxOutputTokens(), this.components.time().nanos());
		try {
			run.run();
		}
		finally {
			long used = Math.min(run.usedTokens(), reservation.tokens());
			this.components.limiter().settle(reservation, used, this.components.time().nanos());
		}
	}

}
