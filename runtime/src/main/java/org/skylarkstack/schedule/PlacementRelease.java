package org.skylarkstack.schedule;

/**
 * Result of a request, reported when its engines are released.
 *
 * @param servedTokens the number of prompt and output tokens that were served
 * @param failedEngineId the identifier of the engine that failed, or an empty string
 */
public record PlacementRelease(long servedTokens, String failedEngineId) {

}
