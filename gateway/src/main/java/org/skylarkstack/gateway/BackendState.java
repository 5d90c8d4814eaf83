package org.skylarkstack.gateway;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.skylarkstack.peers.EngineRun;

/**
 * What this daemon has learnt about one life of a backend server.
 *
 * <p>
 * Load is this daemon's own open requests plus what the server last reported beyond them;
 * the report fades, because others' requests end. Health comes from the outcomes of
 * requests: each failure in a row doubles the time for which the server is avoided, after
 * which one request tries it again. Confined to one thread.
 */
public final class BackendState {

	private static final long FIRST_AVOID_NANOS = 400_000_000L;

	private static final long FULL_NANOS = 250_000_000L;

	private static final int MAX_AVOID_DOUBLINGS = 4;

	// Reports older than this say little about requests of some tens of milliseconds.
	private static final double REPORT_FADE_NANOS = 500_000_000.0;

	private static final double SMOOTHING = 0.2;

	private BackendNode node;

	private int open;

	private final Set<EngineUse> uses = new LinkedHashSet<>();

	private double othersLoad;

	private long reportedNanos;

	private double failureShare;

	private double errorShare;

	private int failuresInRow;

	private long avoidUntilNanos;

	private boolean trialOpen;

	private long fullUntilNanos;

	private boolean everFull;

	private int fullInRow;

	BackendState(BackendNode node) {
		this.node = node;
	}

	/**
	 * Returns the last announcement.
	 * @return the announcement
	 */
	public BackendNode node() {
		return this.node;
	}

	void update(BackendNode announced) {
		this.node = announced;
	}

	/**
	 * Notes that a request was sent.
	 * @param nowNanos the present time
	 */
	public void opened(long nowNanos) {
		this.open++;
		if (this.failuresInRow > 0 && nowNanos - this.avoidUntilNanos >= 0) {
			this.trialOpen = true;
		}
	}

	/**
	 * Notes that a request is no longer open.
	 */
	public void closed() {
		this.open--;
		this.trialOpen = false;
	}

	/**
	 * Returns the requests of this daemon that the server has not ended.
	 * @return their number, which is that of the connections to it
	 */
	public int open() {
		return this.open;
	}

	/**
	 * Notes whether an answer was an error of the server.
	 * @param error whether it was
	 */
	public void answered(boolean error) {
		this.errorShare += SMOOTHING * ((error ? 1 : 0) - this.errorShare);
	}

	/**
	 * Returns the smoothed share of answers that were errors of the server.
	 * @return the share, 0 to 1
	 */
	public double errorShare() {
		return this.errorShare;
	}

	/** Notes that a request was answered as it should be. */
	public void succeeded() {
		this.failuresInRow = 0;
		this.fullInRow = 0;
		this.failureShare -= SMOOTHING * this.failureShare;
	}

	/**
	 * Notes that a request failed for a reason that lies with the server.
	 * @param nowNanos the present time
	 */
	public void failed(long nowNanos) {
		this.failureShare += SMOOTHING * (1 - this.failureShare);
		this.failuresInRow++;
		long nanos = FIRST_AVOID_NANOS << Math.min(this.failuresInRow - 1, MAX_AVOID_DOUBLINGS);
		this.avoidUntilNanos = nowNanos + nanos;
	}

	/**
	 * Takes memory for a request that will be sent.
	 * @param use the memory
	 */
	void reserve(EngineUse use) {
		this.uses.add(use);
	}

	/**
	 * Gives memory back.
	 * @param use the memory
	 */
	void unreserve(EngineUse use) {
		this.uses.remove(use);
	}

	/**
	 * Returns what the requests of this daemon occupy.
	 * @return the memory of each request
	 */
	public List<EngineRun> runs() {
		return this.uses.stream().map(EngineUse::run).toList();
	}

	/**
	 * Notes that the server refused a request because it is full.
	 * @param nowNanos the present time
	 */
	public void refusedFull(long nowNanos) {
		this.everFull = true;
		this.fullUntilNanos = nowNanos + (FULL_NANOS << Math.min(this.fullInRow, MAX_AVOID_DOUBLINGS));
		this.fullInRow++;
	}

	/**
	 * Returns whether the server refused a request a moment ago because it is full.
	 * @param nowNanos the present time
	 * @return whether it is taken to be full
	 */
	public boolean full(long nowNanos) {
		return this.everFull && nowNanos - this.fullUntilNanos < 0;
	}

	/**
	 * Takes a load report.
	 * @param busy the requests running and waiting at the server
	 * @param nowNanos the present time
	 */
	public void reported(int busy, long nowNanos) {
		this.othersLoad = Math.max(0, busy - this.open);
		this.reportedNanos = nowNanos;
	}

	/**
	 * Returns whether requests should go elsewhere for now.
	 * @param nowNanos the present time
	 * @return whether the server is avoided
	 */
	public boolean avoided(long nowNanos) {
		return this.failuresInRow > 0 && (this.trialOpen || nowNanos - this.avoidUntilNanos < 0);
	}

	/**
	 * Returns the estimated load.
	 * @param nowNanos the present time
	 * @return the requests that the server is estimated to hold
	 */
	public double load(long nowNanos) {
		return this.open + othersLoad(nowNanos);
	}

	/**
	 * Returns the estimated load that others cause.
	 * @param nowNanos the present time
	 * @return the requests of others that the server is estimated to hold
	 */
	public double othersLoad(long nowNanos) {
		double age = Math.max(0, nowNanos - this.reportedNanos);
		return this.othersLoad * Math.exp(-age / REPORT_FADE_NANOS);
	}

	/**
	 * Returns the tokens of this daemon's open requests.
	 * @return the tokens
	 */
	public long openTokens() {
		return runs().stream().mapToLong(EngineRun::tokens).sum();
	}

	/**
	 * Returns the smoothed share of failed requests.
	 * @return the share, 0 to 1
	 */
	public double failureShare() {
		return this.failureShare;
	}

}
