package org.skylarkstack.request;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Records the outcome of one request that runs under a claim. If neither method is
 * called, or the request fails but may have run, the claim stays in place, so that
 * nothing runs twice.
 */
public final class ClaimedRun {

	private final IdempotencyClaims claims;

	private final Claim claim;

	private boolean finished;

	/**
	 * Creates a run.
	 * @param claims stores the outcome
	 * @param claim the stored claim
	 */
	public ClaimedRun(IdempotencyClaims claims, Claim claim) {
		this.claims = claims;
		this.claim = claim;
	}

	/**
	 * Records that the request ran, unless an outcome was recorded or the claim was
	 * released before.
	 * @param response the response to keep, or {@code null} if it is not kept
	 */
	public void recordOutcome(@Nullable StoredResponse response) {
		if (!this.finished) {
			this.finished = true;
			this.claims.record(this.claim, response);
		}
	}

	/**
	 * Releases the claim if the request cannot have run.
	 * @param failure the failure of the request
	 */
	public void releaseIfNotRun(RouterException failure) {
		if (!this.finished && failure.verdict() == Verdict.NOT_RUN) {
			this.finished = true;
			this.claims.release(this.claim);
		}
	}

}
