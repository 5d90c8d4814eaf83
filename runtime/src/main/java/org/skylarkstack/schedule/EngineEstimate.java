package org.skylarkstack.schedule;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.EngineLoad;

/**
 * Estimated state of one engine: the last load report, corrected by the grants and
 * releases that the report does not reflect yet.
 *
 * <p>
 * The decode slots and memory pieces in use are those of this scheduler's grants plus the
 * untracked ones. Untracked are those that a report shows beyond the grants: requests
 * that other VMs placed by a local decision, or requests of a dead VM that still run on
 * the engine. A grant that was released after the state shown by a report is not counted
 * as untracked. Each report resets the prefill backlog to the reported tokens and adds
 * the grants that it cannot reflect yet.
 */
final class EngineEstimate {

	/**
	 * Time after a grant at which the VM that received it is assumed to have sent the
	 * request to the engine. A load report on an earlier state does not reflect the
	 * grant.
	 */
	private static final long GRANT_DELIVERY_NANOS = 10_000_000L;

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final SchedulerOptions options;

	private final PrefixIndex prefixes;

	private final Map<String, ActiveGrant> prefills = new LinkedHashMap<>();

	private final Map<String, ActiveGrant> decodes = new LinkedHashMap<>();

	private final Deque<RecentRelease> recentReleases = new ArrayDeque<>();

	private final Set<String> isolated = new HashSet<>();

	private EngineNode node;

	private long prefillFreeNanos;

	private int grantedPieces;

	private int untrackedSlots;

	private int untrackedPieces;

	private long lastReportNanos;

	private int failures;

	private long quarantinedUntilNanos;

	private long nextProbeNanos;

	EngineEstimate(EngineNode node, SchedulerOptions options, long nowNanos) {
		this.node = node;
		this.options = options;
		this.prefixes = new PrefixIndex(options.maxPrefixBlocks());
		this.prefillFreeNanos = nowNanos;
		this.lastReportNanos = nowNanos;
		this.quarantinedUntilNanos = nowNanos;
		this.nextProbeNanos = nowNanos;
	}

	EngineNode node() {
		return this.node;
	}

	void node(EngineNode changed) {
		this.node = changed;
	}

	PrefixIndex prefixes() {
		return this.prefixes;
	}

	void applyReport(EngineLoad load, long readNanos) {
		long stateNanos = readNanos - this.options.maxReportLagNanos();
		if (readNanos < this.lastReportNanos) {
			return;
		}
		this.lastReportNanos = readNanos;
		while (!this.recentReleases.isEmpty() && this.recentReleases.peekFirst().nanos < stateNanos) {
			this.recentReleases.removeFirst();
		}
		int pieces = this.grantedPieces + this.recentReleases.stream().mapToInt((entry) -> entry.pieces).sum();
		this.untrackedSlots = Math.max(0,
				load.running() + load.waiting() - this.decodes.size() - this.recentReleases.size());
		this.untrackedPieces = Math.max(0, load.usedPieces() - pieces);
		this.prefillFreeNanos = stateNanos + prefillComputeNanos(load.queuedPrefillTokens());
		this.prefills.values().removeIf((grant) -> grant.grantedNanos + GRANT_DELIVERY_NANOS <= stateNanos);
		for (ActiveGrant grant : this.prefills.values()) {
			this.prefillFreeNanos = Math.max(this.prefillFreeNanos, grant.grantedNanos) + grant.prefillNanos;
		}
	}

	private long prefillComputeNanos(long promptTokens) {
		return promptTokens * NANOS_PER_SECOND / this.node.prefillTokensPerSecond();
	}

	long prefillNanos(PlacementRequest request) {
		int cached = Math.min(this.prefixes.cachedTokens(request.prefixHashes()), request.promptTokens() - 1);
		return this.options.prefillOverheadNanos() + prefillComputeNanos(request.promptTokens() - cached);
	}

	long prefillStartNanos(long nowNanos) {
		return Math.max(nowNanos, this.prefillFreeNanos);
	}

	void addPrefill(ActiveGrant grant, long nowNanos) {
		this.prefills.put(grant.held.requestId(), grant);
		this.prefillFreeNanos = prefillStartNanos(nowNanos) + grant.prefillNanos;
		grant.prefillEndNanos = this.prefillFreeNanos;
		markIsolated(grant);
		scheduleNextProbe(nowNanos);
	}

	void addDecode(ActiveGrant grant, long nowNanos) {
		this.decodes.put(grant.held.requestId(), grant);
		this.grantedPieces += grant.held.pieces();
		markIsolated(grant);
		scheduleNextProbe(nowNanos);
	}

	void markIsolated(ActiveGrant grant) {
		if (grant.held.isolated()) {
			this.isolated.add(grant.held.requestId());
		}
	}

	private void scheduleNextProbe(long nowNanos) {
		if (isQuarantined(nowNanos)) {
			this.nextProbeNanos = nowNanos + this.options.quarantineNanos();
		}
	}

	void removePrefill(ActiveGrant grant, long nowNanos) {
		this.prefills.remove(grant.held.requestId());
		if (nowNanos < grant.prefillEndNanos) {
			this.prefillFreeNanos -= Math.min(grant.prefillNanos, grant.prefillEndNanos - nowNanos);
		}
		this.isolated.remove(grant.held.requestId());
	}

	void removeDecode(ActiveGrant grant, long nowNanos) {
		if (this.decodes.remove(grant.held.requestId()) != null) {
			this.grantedPieces -= grant.held.pieces();
			this.recentReleases.addLast(new RecentRelease(nowNanos, grant.held.pieces()));
		}
		this.isolated.remove(grant.held.requestId());
	}

	void recordFailure(long nowNanos) {
		this.failures = Math.min(this.failures + 1, 16);
		long term = Math.min(this.options.maxQuarantineNanos(), this.options.quarantineNanos() << (this.failures - 1));
		this.quarantinedUntilNanos = nowNanos + term;
		this.nextProbeNanos = this.quarantinedUntilNanos;
		this.prefixes.clear();
	}

	void recordSuccess() {
		this.failures = 0;
	}

	/**
	 * Returns whether the engine failed and has served no request since, or has sent no
	 * load report within the report timeout.
	 * @param nowNanos the current time in nanoseconds
	 * @return whether it is quarantined
	 */
	private boolean isQuarantined(long nowNanos) {
		return this.failures > 0 || nowNanos - this.lastReportNanos > this.options.reportTimeoutNanos();
	}

	/**
	 * Returns whether the engine may get a new request. A quarantined engine gets one
	 * request in each probe period; an engine with an isolated request gets no second
	 * one.
	 * @param isolatedRequest whether the new request is isolated
	 * @param nowNanos the current time in nanoseconds
	 * @return whether the engine may get the request
	 */
	boolean acceptsRequest(boolean isolatedRequest, long nowNanos) {
		if (this.node.leaving() || (isolatedRequest && !this.isolated.isEmpty())) {
			return false;
		}
		return !isQuarantined(nowNanos) || nowNanos >= Math.max(this.nextProbeNanos, this.quarantinedUntilNanos);
	}

	int freeSlots() {
		return this.node.decodeSlots() - this.decodes.size() - this.untrackedSlots;
	}

	int freePieces() {
		return this.node.memoryPieces() - this.grantedPieces - this.untrackedPieces;
	}

	double occupancy() {
		return 1.0 - (double) freeSlots() / this.node.decodeSlots();
	}

	boolean runsBatchPrefill(long nowNanos) {
		return this.prefills.values().stream().anyMatch((grant) -> grant.batch && grant.prefillEndNanos > nowNanos);
	}

	private record RecentRelease(long nanos, int pieces) {

	}

}
