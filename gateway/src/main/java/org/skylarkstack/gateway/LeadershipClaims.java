package org.skylarkstack.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Claims to duties that one daemon at a time may carry out. The platform's store keeps
 * them.
 */
public interface LeadershipClaims {

	/**
	 * Reads the last claim to a duty.
	 * @param task the name of the duty
	 * @param done receives the claim, or {@code null} if the store did not answer
	 */
	void read(String task, Consumer<@Nullable LeadershipClaim> done);

	/**
	 * Claims a duty, provided that no daemon has claimed it since the last claim was
	 * read.
	 * @param task the name of the duty
	 * @param lastClaim the last claim, as it was read
	 * @param holder the name of the daemon that makes the claim
	 * @param done receives the fencing number of the new claim, or 0 if it was not made
	 * or the store did not answer
	 */
	void claim(String task, LeadershipClaim lastClaim, String holder, Consumer<Long> done);

}
