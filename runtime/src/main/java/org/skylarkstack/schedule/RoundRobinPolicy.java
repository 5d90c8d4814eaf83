package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Baseline policy that chooses the engines in turn.
 */
final class RoundRobinPolicy extends ImmediatePolicy {

	private int nextPrefill;

	private int nextDecode;

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		int turn = prefill ? this.nextPrefill++ : this.nextDecode++;
		return candidates.get(Math.floorMod(turn, candidates.size()));
	}

}
