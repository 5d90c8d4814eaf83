package org.skylarkstack.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Baseline policy that chooses the engine with the lowest reported load, and at random
 * among engines with equal load.
 */
final class LeastReportedPolicy extends ImmediatePolicy {

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		long least = candidates.stream().mapToLong((engine) -> reportedLoad(engine, prefill)).min().orElseThrow();
		List<EngineNode> leastLoaded = candidates.stream()
			.filter((engine) -> reportedLoad(engine, prefill) == least)
			.sorted(Comparator.comparing(EngineNode::id))
			.toList();
		return leastLoaded.get(random.nextInt(leastLoaded.size()));
	}

	private long reportedLoad(EngineNode engine, boolean prefill) {
		return prefill ? load(engine).queuedPrefillTokens() : load(engine).running() + load(engine).waiting();
	}

}
