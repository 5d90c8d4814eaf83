package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Baseline policy that chooses an engine at random.
 */
final class RandomPolicy extends ImmediatePolicy {

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		return candidates.get(random.nextInt(candidates.size()));
	}

}
