package org.skylarkstack.standin;

/**
 * Memory of a stand-in engine.
 *
 * @param pieces the KV cache memory in pieces
 * @param cacheBlocks the prefix cache in blocks
 * @param prefillResultMillis the life of a prefill result in milliseconds
 * @param maxWaiting the requests that may wait; further ones are refused with status 429
 */
public record EngineMemory(int pieces, int cacheBlocks, int prefillResultMillis, int maxWaiting) {

	/** Tokens in a piece. */
	public static final int PIECE_TOKENS = 2_000;

	/** Usual figures: 20 requests of about three pieces nearly fill the memory. */
	public static final EngineMemory DEFAULT = new EngineMemory(64, 512, 800, 64);

	static int piecesFor(int tokens) {
		return (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS;
	}

}
