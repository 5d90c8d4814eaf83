package org.skylarkstack.peers;

/**
 * Memory of a request at an engine.
 *
 * @param tokens the tokens that it occupies now
 * @param remaining the tokens that it is expected to grow by
 */
public record EngineRun(long tokens, long remaining) {

}
