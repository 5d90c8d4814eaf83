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

	private final RequestParts parts;

	/**
	 * Creates a pipeline.
	 * @param parts the components that requests use
	 */
	public RequestPipeline(RequestParts parts) {
		this.parts = parts;
	}

	/**
	 * Runs a request and passes its answer to the sink, event by event.
	 * @param team the team whose tokens the request uses
	 * @param request the request
	 * @param cancellation ends the request early
	 * @param sink receives the answer
	 * @throws RouterException if the request is refused or fails
	 * @throws CallerDisconnectedException if the caller could not be written to
	 */
	public void run(Team team, CompletionRequest request, Cancellation cancellation, ResponseSink sink) {
		cancellation.check(Verdict.NOT_RUN);
		this.parts.retryBudget().recordRequest(this.parts.time().nanos());
		CompletionRun run = new CompletionRun(this.parts, team, request, cancellation, sink);
		TokenReservation reservation = this.parts.limiter()
			.reserve(team, (long) request.promptTokens() + request.maxOutputTokens(), this.parts.time().nanos());
		try {
			run.run();
		}
		finally {
			long used = Math.min(run.usedTokens(), reservation.tokens());
			this.parts.limiter().settle(reservation, used, this.parts.time().nanos());
		}
	}

}
