package org.skylarkstack.schedule;

/**
 * Grant that its holder renews.
 *
 * @param requestId the request
 * @param grantId the number of the grant
 * @param prefillEngineId the engine that prefills
 * @param decodeEngineId the engine that decodes
 * @param teamId the team
 * @param weight the team's weight
 * @param pieces the decode memory reserved, in pieces
 * @param isolated whether the request must not share an engine with another isolated one
 */
public record HeldPlacement(String requestId, long grantId, String prefillEngineId, String decodeEngineId,
		String teamId, double weight, int pieces, boolean isolated) {

}
