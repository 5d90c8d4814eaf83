package org.skylarkstack.gateway;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Reads and makes the claims of daemons to lead a task. Only one daemon at a time may
 * lead a task. The claims are kept in the platform's store.
 */
public interface LeadershipClaims {

	/**
	 * Reads the last claim to a task.
	 * @param task the name of the task, such as the service whose engines change their
	 * role
	 * @param done receives the claim, or {@code null} if the call of the store failed
	 */
	void read(String task, Consumer<@Nullable LeadershipClaim> done);

	/**
	 * Claims a task, provided that no daemon has claimed it since the last claim was
	 * read.
	 * @param task the name of the task, such as the service whose engines change their
	 * role
	 * @param lastClaim the last claim, as it was read
	 * @param holder the name of the daemon that makes the claim
	 * @param done receives the fencing number of the new claim, or 0 if another daemon
	 * has claimed the task or the call of the store failed
	 */
	void claim(String task, LeadershipClaim lastClaim, String holder, Consumer<Long> done);

}
