package org.skylarkstack.schedule;

import java.util.random.RandomGenerator;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.kernel.ErrorType;

/**
 * Reference policy that gives an upper bound in experiments. It reads the true state of
 * all engines without delay and ignores fairness. It places an interactive request on the
 * engine pair with the earliest first token if that meets the target, and a batch request
 * only if spare decode slots remain for interactive ones.
 */
public final class OraclePolicy extends ImmediatePolicy {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final SchedulerOptions options = SchedulerOptions.DEFAULT;

	private @Nullable TrueEngineState engineState;

	/**
	 * Time of the last poll in which a batch request found no free engine pair. The other
	 * batch requests of the same poll then stay queued without a search.
	 */
	private long batchBlockedNanos = Long.MIN_VALUE;

	/**
	 * Sets the true engine state. Until it is set, every request is refused.
	 * @param engineState the state, read at each decision
	 */
	public void setEngineState(TrueEngineState engineState) {
		this.engineState = engineState;
	}

	@Override
	EngineNode choose(java.util.List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		throw new UnsupportedOperationException("OraclePolicy chooses engine pairs in decide");
	}

	@Override
	@Nullable PlacementDecision decide(OfferedRequest offered, long nowNanos, RandomGenerator random) {
		TrueEngineState current = this.engineState;
		if (current == null) {
			return PlacementDecision.refuse(offered, ErrorType.NO_ENGINE);
		}
		boolean batch = offered.request().requestClass().mayExceedFirstTokenTarget();
		long deadline = offered.deadlineNanos(this.options.firstTokenTargetNanos());
		if (nowNanos > deadline) {
			return PlacementDecision.refuse(offered, ErrorType.DEADLINE_UNREACHABLE);
		}
		if (batch && this.batchBlockedNanos == nowNanos) {
			return null;
		}
		EngineNode bestPrefill = null;
		EngineNode bestDecode = null;
		long bestNanos = Long.MAX_VALUE;
		for (EngineNode prefill : candidates(true)) {
			for (EngineNode decode : candidates(false)) {
				long first = firstTokenNanos(offered.request(), prefill, decode, current, batch, nowNanos);
				if (first < bestNanos) {
					bestNanos = first;
					bestPrefill = prefill;
					bestDecode = decode;
				}
			}
		}
		if (bestPrefill == null || bestDecode == null || (!batch && bestNanos > deadline)) {
			this.batchBlockedNanos = batch ? nowNanos : this.batchBlockedNanos;
			return null;
		}
		PlacementDecision decision = grant(offered, bestPrefill, bestDecode);
		if (decision.placement() != null) {
			current.addPlacement(decision.placement());
		}
		return decision;
	}

	private long firstTokenNanos(PlacementRequest request, EngineNode prefill, EngineNode decode,
			TrueEngineState engineState, boolean batch, long nowNanos) {
		int reserve = batch ? this.options.batchSlotReserve() : 0;
		long start = Math.max(nowNanos, engineState.prefillFreeNanos(prefill.id()));
		if (engineState.freeSlots(decode.id()) <= reserve
				|| engineState.freePieces(decode.id()) < PoolScheduler.pieces(request)
				|| start - nowNanos > this.options.prefillLookaheadNanos()) {
			return Long.MAX_VALUE;
		}
		long prefillEnd = start + this.options.prefillOverheadNanos()
				+ request.promptTokens() * NANOS_PER_SECOND / prefill.prefillTokensPerSecond();
		boolean local = prefill.dataCentre().equals(decode.dataCentre());
		double rate = local ? this.options.transferTokensPerSecond() : this.options.remoteTransferTokensPerSecond();
		return Math.max(prefillEnd, engineState.linkFreeNanos(prefill.id(), decode.id()))
				+ this.options.transferSetupNanos() + (long) (request.promptTokens() / rate * NANOS_PER_SECOND)
				+ this.options.firstDecodeNanos();
	}

}
