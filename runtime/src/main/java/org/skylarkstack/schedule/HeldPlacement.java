package org.skylarkstack.schedule;

/**
 * Grant as its holder reports it to the soft owner when it renews the grant.
 *
 * @param requestId the identifier of the request
 * @param grantId the identifier of the grant at the VM that made it
 * @param prefillEngineId the identifier of the engine that prefills
 * @param decodeEngineId the identifier of the engine that decodes
 * @param teamId the identifier of the team
 * @param weight the weight of the team in fair queueing
 * @param pieces the memory reserved on the decode engine, in memory pieces
 * @param isolated whether the request must not share an engine with another isolated one
 */
public record HeldPlacement(String requestId, long grantId, String prefillEngineId, String decodeEngineId,
		String teamId, double weight, int pieces, boolean isolated) {

}
