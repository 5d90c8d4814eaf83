package org.skylarkstack.schedule;

/**
 * Engines that run a request, with memory reserved on the decode engine.
 *
 * @param requestId the identifier of the request
 * @param model the name of the model
 * @param prefillEngineId the identifier of the engine that prefills
 * @param decodeEngineId the identifier of the engine that decodes; the same engine if no
 * transfer is needed
 */
public record Placement(String requestId, String model, String prefillEngineId, String decodeEngineId) {

}
