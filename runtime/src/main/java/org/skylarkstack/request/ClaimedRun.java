package org.skylarkstack.request;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * One claimed request from its claim to its recorded outcome. Closing it without an
 * outcome leaves the claim in place, so that nothing runs twice.
 */
public final class ClaimedRun {

	private final IdempotencyClaims claims;

	private final Claim claim;

	private boolean finished;

	/**
	 * Creates a run.
	 * @param claims stores the outcome
	 * @param claim the claim, which is made
	 */
	public ClaimedRun(IdempotencyClaims claims, Claim claim) {
		this.claims = claims;
		this.claim = claim;
	}

	/**
	 * Records the outcome once.
	 * @param answer the answer, or {@code null} if it is not kept
	 */
	public void ran(@Nullable StoredAnswer answer) {
		if (!this.finished) {
			this.finished = true;
			this.claims.record(this.claim, answer);
		}
	}

	/**
	 * Releases the claim if the request cannot have run.
	 * @param failure the failure of the request
	 */
	public void failed(RouterException failure) {
		if (!this.finished && failure.verdict() == Verdict.NOT_RUN) {
			this.finished = true;
			this.claims.release(this.claim);
		}
	}

}
