package org.skylarkstack.peers;

/**
 * Memory that one request occupies at an engine.
 *
 * @param tokens the number of tokens that it occupies now
 * @param expectedGrowthTokens the number of tokens by which it is still expected to grow
 */
public record RequestMemory(long tokens, long expectedGrowthTokens) {

}
