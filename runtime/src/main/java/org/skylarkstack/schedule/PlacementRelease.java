package org.skylarkstack.schedule;

/**
 * End of a placement.
 *
 * @param servedTokens the prompt and output tokens that were served
 * @param failedEngineId the engine that failed, or an empty string
 */
public record PlacementRelease(long servedTokens, String failedEngineId) {

}
