package org.skylarkstack.schedule;

import java.util.List;

/**
 * Request for engines that prefill and decode one model request.
 *
 * @param requestId the identifier of the request
 * @param vmId the identifier of the VM that runs the request
 * @param model the name of the model
 * @param teamId the identifier of the team
 * @param weight the weight of the team in fair queueing
 * @param requestClass the class, which decides how long the request may be queued
 * @param promptTokens the estimated number of prompt tokens
 * @param maxOutputTokens the maximum number of output tokens
 * @param prefixHashes the chained hashes of the prompt's complete leading blocks, the
 * longest prefix last
 * @param waitNanos the time that the request may wait for engines, in nanoseconds
 * @param isolated whether the request must not share an engine with another isolated one
 */
public record PlacementRequest(String requestId, String vmId, String model, String teamId, double weight,
		RequestClass requestClass, int promptTokens, int maxOutputTokens, List<Long> prefixHashes, long waitNanos,
		boolean isolated) {

	/** Copies the hashes. */
	public PlacementRequest {
		prefixHashes = List.copyOf(prefixHashes);
	}

}
