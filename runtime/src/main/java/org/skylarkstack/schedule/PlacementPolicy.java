package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;

/**
 * Decides which engines of one model run which requests. Implementations are pure state
 * machines: the time and randomness are arguments, and one thread calls them.
 */
public interface PlacementPolicy {

	/**
	 * Returns whether one owner decides for all VMs. Otherwise each VM decides about its
	 * own requests.
	 * @return whether the policy has a shared queue
	 */
	boolean shared();

	/**
	 * Replaces the engine set.
	 * @param engines the engines of the model, leaving ones included
	 * @param nowNanos the present time
	 */
	void engines(List<EngineNode> engines, long nowNanos);

	/**
	 * Offers a request. An offer of a request that is queued or granted changes nothing;
	 * the present grant is decided again at the next poll.
	 * @param offered the request
	 * @param nowNanos the present time
	 */
	void offer(OfferedRequest offered, long nowNanos);

	/**
	 * Withdraws a request that is queued, and frees it if it was granted.
	 * @param requestId the request
	 * @param nowNanos the present time
	 */
	void cancel(String requestId, long nowNanos);

	/**
	 * Frees a grant. Other grant numbers and unknown requests change nothing.
	 * @param requestId the request
	 * @param grantId the number of the grant
	 * @param release why and with how many tokens the request ended
	 * @param nowNanos the present time
	 */
	void release(String requestId, long grantId, PlacementRelease release, long nowNanos);

	/**
	 * Extends the term of a grant. A grant that this policy does not know is taken over
	 * from a former owner.
	 * @param held the grant
	 * @param holder the VM and incarnation that hold it
	 * @param nowNanos the present time
	 */
	void renew(HeldPlacement held, String holder, long nowNanos);

	/**
	 * Takes a load report.
	 * @param engineId the engine
	 * @param load the report
	 * @param readNanos when the report was requested from the engine
	 * @param nowNanos the present time
	 */
	void loadReport(String engineId, EngineLoad load, long readNanos, long nowNanos);

	/**
	 * Takes an event of an engine's prefix cache.
	 * @param event the event
	 */
	void cacheEvent(CacheEvent event);

	/**
	 * Frees all that a dead incarnation holds or waits for.
	 * @param holder the VM and incarnation
	 * @param nowNanos the present time
	 */
	void removeHolder(String holder, long nowNanos);

	/**
	 * Decides about the waiting requests.
	 * @param nowNanos the present time
	 * @param random the source of randomness
	 * @return the grants and refusals
	 */
	List<PlacementDecision> poll(long nowNanos, RandomGenerator random);

	/**
	 * Returns the requests that wait for a decision.
	 * @return the requests in no particular order
	 */
	List<OfferedRequest> queued();

	/**
	 * Returns the number of grants that are not released.
	 * @return the count
	 */
	int grantCount();

}
