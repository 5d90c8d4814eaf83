package org.skylarkstack.share;

/**
 * Share of one daemon in the limit of a backend server.
 *
 * @param part the part of the limit, 0 to 1
 * @param phase the part of a request that is available at first, from 0 to below 1, which
 * differs between the daemons that have a part
 * @param trialPhase a number from 0 to below 1 that differs between all daemons
 */
public record LimitShare(double part, double phase, double trialPhase) {

	/** Share of a daemon that may send nothing. */
	public static final LimitShare NONE = new LimitShare(0, 0, 0);

	/**
	 * Creates a share.
	 */
	public LimitShare {
		if (!(part >= 0 && part <= 1 && phase >= 0 && phase < 1 && trialPhase >= 0 && trialPhase < 1)) {
			throw new IllegalArgumentException("not a share: %s, %s, %s".formatted(part, phase, trialPhase));
		}
	}

}
