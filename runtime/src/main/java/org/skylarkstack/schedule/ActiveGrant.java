package org.skylarkstack.schedule;

/**
 * Grant that is neither released nor expired, as the scheduler tracks it.
 */
final class ActiveGrant {

	final HeldPlacement held;

	final String holder;

	/** Estimated cost charged to the team, in engine milliseconds. */
	final double charge;

	final int promptTokens;

	final int maxOutputTokens;

	final long grantedNanos;

	final long prefillNanos;

	final boolean batch;

	long prefillEndNanos;

	long expiresNanos;

	ActiveGrant(HeldPlacement held, String holder, double charge, int promptTokens, int maxOutputTokens,
			long grantedNanos, long prefillNanos, boolean batch) {
		this.held = held;
		this.holder = holder;
		this.charge = charge;
		this.promptTokens = promptTokens;
		this.maxOutputTokens = maxOutputTokens;
		this.grantedNanos = grantedNanos;
		this.prefillNanos = prefillNanos;
		this.batch = batch;
	}

}
