package org.skylarkstack.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.Cancellation;

/**
 * Call of an engine for one attempt of a request.
 *
 * @param requestId the id of the attempt, which the engine echoes
 * @param owner the VM and incarnation that own the request
 * @param path the API path, such as {@code /v1/chat/completions}
 * @param body the request body for the engine
 * @param cancellation ends the call early
 */
public record EngineCall(String requestId, String owner, String path, ObjectNode body, Cancellation cancellation) {

}
