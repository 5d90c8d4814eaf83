package org.skylarkstack.schedule;

import java.util.List;

/**
 * Request for engines.
 *
 * @param requestId the request
 * @param vmId the VM that runs the request
 * @param model the model
 * @param teamId the team
 * @param weight the team's weight
 * @param requestClass the urgency
 * @param promptTokens the estimated prompt tokens
 * @param maxOutputTokens the bound of the output tokens
 * @param prefixHashes the hashes of the prompt's leading blocks, longest prefix last
 * @param waitNanos how long the request may wait for its engines, in nanoseconds
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
