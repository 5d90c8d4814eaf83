package org.skylarkstack.engine;

/**
 * Load report of an engine. It lags behind the engine's true state.
 *
 * @param running the requests being decoded
 * @param waiting the requests waiting inside the engine
 * @param usedPieces the KV cache memory in use, in pieces
 * @param queuedPrefillTokens the prompt tokens not prefilled yet
 */
public record EngineLoad(int running, int waiting, int usedPieces, long queuedPrefillTokens) {

}
