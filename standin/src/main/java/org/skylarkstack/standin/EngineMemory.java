package org.skylarkstack.standin;

/**
 * Memory and queue limits of a stand-in engine.
 *
 * @param pieces the KV cache memory in pieces of {@value #PIECE_TOKENS} tokens
 * @param cacheBlocks the capacity of the prefix cache in blocks
 * @param prefillResultMillis the time until a prefill result expires, in milliseconds
 * @param maxWaiting the number of requests that may wait; further requests are rejected
 * with status 429
 */
public record EngineMemory(int pieces, int cacheBlocks, int prefillResultMillis, int maxWaiting) {

	/** Size of a piece in tokens. */
	public static final int PIECE_TOKENS = 2_000;

	/** Default limits: 20 requests of about three pieces nearly fill the memory. */
	public static final EngineMemory DEFAULT = new EngineMemory(64, 512, 800, 64);

	static int piecesFor(int tokens) {
		return (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS;
	}

}
