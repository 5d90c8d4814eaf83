package org.skylarkstack.schedule;

/**
 * Engines given to a request, with decode memory reserved.
 *
 * @param requestId the request
 * @param model the model
 * @param prefillEngineId the engine that prefills
 * @param decodeEngineId the engine that decodes; the same engine if no transfer is needed
 */
public record Placement(String requestId, String model, String prefillEngineId, String decodeEngineId) {

}
