package org.skylarkstack.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Result of a prefill, to be handed to the decode engine.
 *
 * @param transferParameters the engine's transfer parameters
 * @param promptTokens the prompt tokens as counted by the engine
 */
public record PrefillResult(JsonNode transferParameters, int promptTokens) {

}
