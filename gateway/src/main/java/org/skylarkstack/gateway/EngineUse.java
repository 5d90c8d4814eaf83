package org.skylarkstack.gateway;

import org.skylarkstack.peers.EngineRun;

/**
 * Memory that one request of this daemon occupies at an engine, updated as it grows.
 * Confined to one thread.
 */
final class EngineUse {

	// A request that has outgrown its estimate is expected to grow by this share more.
	private static final double EXCESS_GROWTH_SHARE = 0.35;

	private final long promptTokens;

	private final long expectedTokens;

	private final long maxTokens;

	private long generatedTokens;

	EngineUse(long promptTokens, long expectedTokens, long maxTokens) {
		this.promptTokens = promptTokens;
		this.expectedTokens = expectedTokens;
		this.maxTokens = maxTokens;
	}

	void setGeneratedTokens(long tokens) {
		this.generatedTokens = tokens;
	}

	EngineRun run() {
		long remaining = (this.generatedTokens < this.expectedTokens) ? this.expectedTokens - this.generatedTokens
				: (long) (EXCESS_GROWTH_SHARE * this.generatedTokens);
		long bound = Math.max(0, this.maxTokens - this.generatedTokens);
		return new EngineRun(this.promptTokens + this.generatedTokens, Math.min(bound, remaining));
	}

}
