package org.skylarkstack.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Claims of duties that one daemon at a time may carry out, kept by the platform's store.
 */
public interface DutyClaims {

	/**
	 * Reads who claimed a duty last.
	 * @param duty the duty
	 * @param done takes the claim; {@code null} if the store did not answer
	 */
	void read(String duty, Consumer<@Nullable DutyClaim> done);

	/**
	 * Claims a duty if nobody has claimed it since a claim was read.
	 * @param duty the duty
	 * @param former the claim that was read
	 * @param holder the daemon that claims
	 * @param done takes the fencing number of the new claim, or 0 if it was not made or
	 * the store did not answer
	 */
	void claim(String duty, DutyClaim former, String holder, Consumer<Long> done);

}
