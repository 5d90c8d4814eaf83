package org.skylarkstack.gateway;

import java.util.Set;

import org.skylarkstack.peers.RequestMemory;

/**
 * Stream request that waits for memory at a decode engine.
 */
interface WaitingStream {

	/**
	 * Returns the memory that the request will occupy at a decode engine.
	 * @return the tokens that it occupies at first and by which it is expected to grow
	 */
	RequestMemory memory();

	/**
	 * Returns the priority of the request.
	 * @return the priority, 0 being the most urgent
	 */
	int priority();

	/**
	 * Returns when the request arrived and began to wait.
	 * @return the monotonic time in nanoseconds
	 */
	long arrivedNanos();

	/**
	 * Returns the latest admission time at which the request can meet its latency target.
	 * @return the monotonic time in nanoseconds
	 */
	long admissionTargetNanos();

	/**
	 * Returns whether the request is refused if it has not been admitted.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it has waited too long, or would not be complete before the daemon
	 * stops
	 */
	boolean isExpired(long nowNanos);

	/**
	 * Returns the servers that have refused the request or failed, before it was queued
	 * again.
	 * @return their identifiers, empty if it is queued for the first time
	 */
	Set<String> triedServers();

	/**
	 * Admits the request to an engine that has enough free memory for it.
	 * @param engine the engine that generates the response
	 */
	void admit(BackendState engine);

	/** Refuses the request because no engine had enough free memory in time. */
	void refuse();

}
