package org.skylarkstack.peers;

/**
 * Memory that one request occupies at an engine.
 *
 * @param tokens the number of tokens that it occupies now
 * @param remaining the number of tokens by which it is still expected to grow
 */
public record EngineRun(long tokens, long remaining) {

}
