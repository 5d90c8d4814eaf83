package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Power of two choices: picks two engines at random and chooses the one with fewer
 * requests of this VM. The policy is a baseline, and the fallback for local decisions of
 * a VM that cannot reach the soft owner.
 */
final class TwoChoicesPolicy extends ImmediatePolicy {

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		EngineNode first = candidates.get(random.nextInt(candidates.size()));
		EngineNode second = candidates.get(random.nextInt(candidates.size()));
		return (inFlight(second) < inFlight(first)) ? second : first;
	}

}
