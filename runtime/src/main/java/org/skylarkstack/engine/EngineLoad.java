package org.skylarkstack.engine;

/**
 * Load report of an engine. It lags behind the state of the engine.
 *
 * @param running the number of requests in decode
 * @param waiting the number of requests that wait inside the engine
 * @param usedPieces the KV cache memory in use, in pieces
 * @param queuedPrefillTokens the number of prompt tokens that are not prefilled yet
 */
public record EngineLoad(int running, int waiting, int usedPieces, long queuedPrefillTokens) {

}
