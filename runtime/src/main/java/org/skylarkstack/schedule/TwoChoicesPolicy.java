package org.skylarkstack.schedule;

import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Takes the engine with fewer requests of this VM out of two random ones. It is a
 * baseline, and the fallback of a VM that reaches no soft owner.
 */
final class TwoChoicesPolicy extends ImmediatePolicy {

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		EngineNode first = candidates.get(random.nextInt(candidates.size()));
		EngineNode second = candidates.get(random.nextInt(candidates.size()));
		return (inFlight(second) < inFlight(first)) ? second : first;
	}

}
