package org.skylarkstack.schedule;

import java.util.Comparator;
import java.util.List;
import java.util.random.RandomGenerator;

import org.skylarkstack.configuration.EngineNode;

/**
 * Baseline that takes the engine with the lowest reported load; equal ones at random.
 */
final class LeastReportedPolicy extends ImmediatePolicy {

	@Override
	EngineNode choose(List<EngineNode> candidates, boolean prefill, RandomGenerator random) {
		long least = candidates.stream().mapToLong((engine) -> reported(engine, prefill)).min().orElseThrow();
		List<EngineNode> equal = candidates.stream()
			.filter((engine) -> reported(engine, prefill) == least)
			.sorted(Comparator.comparing(EngineNode::id))
			.toList();
		return equal.get(random.nextInt(equal.size()));
	}

	private long reported(EngineNode engine, boolean prefill) {
		return prefill ? load(engine).queuedPrefillTokens() : load(engine).running() + load(engine).waiting();
	}

}
