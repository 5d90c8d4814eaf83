package org.skylarkstack.gateway;

import org.skylarkstack.peers.EngineRun;

/**
 * Stream request that waits for room at an engine.
 */
interface WaitingStream {

	/**
	 * Returns the memory that it will occupy.
	 * @return the memory
	 */
	EngineRun memory();

	/**
	 * Returns its rank.
	 * @return the rank, 0 being the most urgent
	 */
	int priority();

	/**
	 * Returns when it began to wait.
	 * @return the time on the monotonic clock
	 */
	long arrivedNanos();

	/**
	 * Returns until when it must be admitted to meet its latency target.
	 * @return the time on the monotonic clock
	 */
	long admissionTargetNanos();

	/**
	 * Returns until when it waits at most.
	 * @return the time on the monotonic clock
	 */
	long expiryNanos();

	/**
	 * Goes on with room at an engine.
	 * @param engine the engine that generates the answer
	 */
	void admit(BackendState engine);

	/** Ends because no room came free in time. */
	void refuse();

}
