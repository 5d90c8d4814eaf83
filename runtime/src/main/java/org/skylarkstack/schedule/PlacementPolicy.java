package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;

/**
 * Decides which engines of one model run which requests. Implementations are
 * deterministic state machines: the time and the random numbers are arguments, and only
 * one thread calls them.
 */
public interface PlacementPolicy {

	/**
	 * Returns whether the soft owner of the model decides for all VMs. Otherwise each VM
	 * decides about its own requests.
	 * @return whether all VMs share the queue of the soft owner
	 */
	boolean usesSharedQueue();

	/**
	 * Replaces the set of engines.
	 * @param engines the engines of the model, including those that are leaving
	 * @param nowNanos the current time in nanoseconds
	 */
	void setEngines(List<EngineNode> engines, long nowNanos);

	/**
	 * Offers a request. Offering a request that is already queued or granted changes
	 * nothing; if it is granted, the next poll returns its grant again.
	 * @param offered the request
	 * @param nowNanos the current time in nanoseconds
	 */
	void offer(OfferedRequest offered, long nowNanos);

	/**
	 * Withdraws a queued request, or frees the grant of a granted one.
	 * @param requestId the identifier of the request
	 * @param nowNanos the current time in nanoseconds
	 */
	void cancel(String requestId, long nowNanos);

	/**
	 * Frees a grant. A call with another grant identifier or an unknown request has no
	 * effect.
	 * @param requestId the identifier of the request
	 * @param grantId the identifier of the grant
	 * @param release the tokens that were served and the engine that failed, if any
	 * @param nowNanos the current time in nanoseconds
	 */
	void release(String requestId, long grantId, PlacementRelease release, long nowNanos);

	/**
	 * Extends the term of a grant. A grant that this policy has not recorded was made by
	 * a former owner and is added.
	 * @param held the grant
	 * @param holder the VM and daemon incarnation that hold the grant
	 * @param nowNanos the current time in nanoseconds
	 */
	void renew(HeldPlacement held, String holder, long nowNanos);

	/**
	 * Applies a load report.
	 * @param engineId the identifier of the engine
	 * @param load the report
	 * @param readNanos the time in nanoseconds at which the report was requested from the
	 * engine
	 * @param nowNanos the current time in nanoseconds
	 */
	void applyLoadReport(String engineId, EngineLoad load, long readNanos, long nowNanos);

	/**
	 * Applies an event of an engine's prefix cache.
	 * @param event the event
	 */
	void applyCacheEvent(CacheEvent event);

	/**
	 * Frees the grants and removes the queued requests of a dead daemon incarnation.
	 * @param holder the VM and daemon incarnation
	 * @param nowNanos the current time in nanoseconds
	 */
	void removeHolder(String holder, long nowNanos);

	/**
	 * Decides about the queued requests.
	 * @param nowNanos the current time in nanoseconds
	 * @param random the random number generator
	 * @return the grants and refusals since the last poll
	 */
	List<PlacementDecision> poll(long nowNanos, RandomGenerator random);

	/**
	 * Returns the requests that are neither granted nor refused yet.
	 * @return the requests in no particular order
	 */
	List<OfferedRequest> queued();

	/**
	 * Returns the number of grants that are neither released nor expired.
	 * @return the number of active grants
	 */
	int grantCount();

}
