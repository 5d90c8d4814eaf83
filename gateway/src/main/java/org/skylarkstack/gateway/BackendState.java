package org.skylarkstack.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.skylarkstack.coldness.ColdCost;
import org.skylarkstack.pace.ServerPace;
import org.skylarkstack.peers.RequestMemory;

/**
 * Load and health of one incarnation of a backend server, as observed by this daemon.
 *
 * <p>
 * The load is the number of open requests of this daemon plus the load beyond them that
 * the server last reported. The reported part decays over time, because the requests of
 * other daemons end. The health follows from the outcomes of requests: each consecutive
 * failure doubles the time for which the server is avoided, up to a maximum. After that
 * time a single trial request is sent to it. Confined to one thread.
 */
public final class BackendState {

	private static final long INITIAL_AVOID_NANOS = 400_000_000L;

	private static final long INITIAL_FULL_NANOS = 250_000_000L;

	private static final int MAX_BACKOFF_DOUBLINGS = 4;

	// Time constant of the decay. Requests take some tens of milliseconds, so a report
	// older than this does not reflect the current load.
	private static final double REPORT_DECAY_NANOS = 500_000_000.0;

	private static final double SMOOTHING_FACTOR = 0.2;

	private BackendNode node;

	private int openRequests;

	private final Set<RequestMemoryTracker> memoryTrackers = new LinkedHashSet<>();

	private double othersLoad;

	private long reportedNanos;

	private double failureShare;

	private double errorShare;

	private int consecutiveFailures;

	private long avoidUntilNanos;

	private boolean trialOpen;

	private long fullUntilNanos;

	private boolean everFull;

	private int consecutiveFullRefusals;

	private final ServerPace pace = new ServerPace();

	private final ServerCondition condition;

	BackendState(BackendNode node, ServerCondition condition) {
		this.node = node;
		this.condition = condition;
	}

	/**
	 * Returns the server as last announced.
	 * @return the latest announcement of this incarnation
	 */
	public BackendNode node() {
		return this.node;
	}

	/**
	 * Returns what this incarnation has stated about itself in its responses.
	 * @return the condition, which outlives this state
	 */
	ServerCondition condition() {
		return this.condition;
	}

	/**
	 * Returns how long work takes at this server.
	 * @return the estimate, updated in place
	 */
	public ServerPace pace() {
		return this.pace;
	}

	/**
	 * Returns the cost of using the server although it is cold.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the cost in the unit of the choosers, 0 if the server is not cold
	 */
	double coldCost(long nowNanos) {
		return ColdCost.of(this.condition.coldLimit().remainingNanos(nowNanos));
	}

	/**
	 * Returns whether the server is cold.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether its cold time has not ended
	 */
	boolean isCold(long nowNanos) {
		return this.condition.coldLimit().remainingNanos(nowNanos) > 0;
	}

	void update(BackendNode announced) {
		this.node = announced;
	}

	/**
	 * Records that a request was sent to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordRequestOpened(long nowNanos) {
		this.openRequests++;
		if (this.consecutiveFailures > 0 && nowNanos - this.avoidUntilNanos >= 0) {
			this.trialOpen = true;
		}
	}

	/**
	 * Records that a request to the server has ended.
	 */
	public void recordRequestClosed() {
		this.openRequests--;
		this.trialOpen = false;
	}

	/**
	 * Returns the number of open requests of this daemon at the server.
	 * @return the number, which equals the number of connections to the server
	 */
	public int openRequests() {
		return this.openRequests;
	}

	/**
	 * Updates the error share with a response.
	 * @param error whether the response was a server error
	 */
	public void recordResponse(boolean error) {
		this.errorShare += SMOOTHING_FACTOR * ((error ? 1 : 0) - this.errorShare);
	}

	/**
	 * Returns the smoothed share of responses that were server errors.
	 * @return the share, 0 to 1
	 */
	public double errorShare() {
		return this.errorShare;
	}

	/** Records that the server completed a request successfully. */
	public void recordSuccess() {
		this.consecutiveFailures = 0;
		this.consecutiveFullRefusals = 0;
		this.failureShare -= SMOOTHING_FACTOR * this.failureShare;
	}

	/**
	 * Records that a request failed because of the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordFailure(long nowNanos) {
		this.failureShare += SMOOTHING_FACTOR * (1 - this.failureShare);
		this.consecutiveFailures++;
		long nanos = INITIAL_AVOID_NANOS << Math.min(this.consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS);
		this.avoidUntilNanos = nowNanos + nanos;
	}

	/**
	 * Reserves memory for a request that is about to be sent.
	 * @param tracker tracks the memory that the request occupies
	 */
	void reserve(RequestMemoryTracker tracker) {
		this.memoryTrackers.add(tracker);
	}

	/**
	 * Releases reserved memory.
	 * @param tracker the tracker that was passed to {@link #reserve}
	 */
	void release(RequestMemoryTracker tracker) {
		this.memoryTrackers.remove(tracker);
	}

	/**
	 * Returns the memory that the requests of this daemon occupy at the server.
	 * @return one entry for each request
	 */
	public List<RequestMemory> requestMemory() {
		return this.memoryTrackers.stream().map(RequestMemoryTracker::memory).toList();
	}

	/**
	 * Records that the server refused a request because it is full. Each consecutive
	 * refusal doubles the time for which it counts as full, up to a maximum.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordFullRefusal(long nowNanos) {
		this.everFull = true;
		this.fullUntilNanos = nowNanos
				+ (INITIAL_FULL_NANOS << Math.min(this.consecutiveFullRefusals, MAX_BACKOFF_DOUBLINGS));
		this.consecutiveFullRefusals++;
	}

	/**
	 * Returns whether the server counts as full because it recently refused a request.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the server still counts as full
	 */
	public boolean isFull(long nowNanos) {
		return this.everFull && nowNanos - this.fullUntilNanos < 0;
	}

	/**
	 * Records a load report of the server.
	 * @param requestsAtServer the number of requests running and waiting at the server
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordLoadReport(int requestsAtServer, long nowNanos) {
		this.othersLoad = Math.max(0, requestsAtServer - this.openRequests);
		this.reportedNanos = nowNanos;
	}

	/**
	 * Returns whether requests should go to other servers for now: during the time after
	 * a failure, and while a trial request is open.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the server is avoided
	 */
	public boolean isAvoided(long nowNanos) {
		return this.consecutiveFailures > 0 && (this.trialOpen || nowNanos - this.avoidUntilNanos < 0);
	}

	/**
	 * Returns the estimated load of the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the estimated number of requests at the server
	 */
	public double load(long nowNanos) {
		return this.openRequests + othersLoad(nowNanos);
	}

	/**
	 * Returns the load of the server by its last report, whatever its age.
	 * @return the number of requests of this daemon and of others at the server
	 */
	double lastReportedLoad() {
		return this.openRequests + this.othersLoad;
	}

	/**
	 * Returns the estimated load that other daemons cause.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the estimated number of requests of other daemons at the server
	 */
	public double othersLoad(long nowNanos) {
		double age = Math.max(0, nowNanos - this.reportedNanos);
		return this.othersLoad * Math.exp(-age / REPORT_DECAY_NANOS);
	}

	/**
	 * Returns the memory that this daemon's open requests occupy.
	 * @return the sum of their tokens
	 */
	public long openTokens() {
		return requestMemory().stream().mapToLong(RequestMemory::tokens).sum();
	}

	/**
	 * Returns the smoothed share of failed requests.
	 * @return the share, 0 to 1
	 */
	public double failureShare() {
		return this.failureShare;
	}

}
