package org.skylarkstack.gateway;

import org.skylarkstack.peers.RequestMemory;

/**
 * Tracks the memory that one request of this daemon occupies at an engine while its
 * response grows. Confined to one thread.
 */
final class RequestMemoryTracker {

	// A response that has reached its expected length is expected to grow by this share
	// of its current length.
	private static final double EXCESS_GROWTH_SHARE = 0.35;

	private final long promptTokens;

	private final long expectedTokens;

	private final long maxTokens;

	private long generatedTokens;

	RequestMemoryTracker(long promptTokens, long expectedTokens, long maxTokens) {
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
		this.maxTokens = maxTokens;
	}

	void setGeneratedTokens(long tokens) {
		this.generatedTokens = tokens;
	}

	RequestMemory memory() {
		long expectedGrowthTokens = (this.generatedTokens < this.expectedTokens)
				? this.expectedTokens - this.generatedTokens : (long) (EXCESS_GROWTH_SHARE * this.generatedTokens);
		long maxGrowthTokens = Math.max(0, this.maxTokens - this.generatedTokens);
		return new RequestMemory(this.promptTokens + this.generatedTokens,
				Math.min(maxGrowthTokens, expectedGrowthTokens));
	}

}
