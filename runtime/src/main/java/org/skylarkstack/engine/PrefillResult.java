package org.skylarkstack.engine;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Result of a prefill, to be passed to the decode engine.
 *
 * @param transferParameters the KV cache transfer parameters from the prefill response
 * @param promptTokens the number of prompt tokens as counted by the engine
 */
public record PrefillResult(JsonNode transferParameters, int promptTokens) {

}
