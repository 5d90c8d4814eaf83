package org.skylarkstack.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.skylarkstack.kernel.Cancellation;

/**
 * Call of an engine on behalf of a request.
 *
 * @param requestId the request and attempt, echoed by the engine
 * @param owner the VM and incarnation that hold the request
 * @param path the API path, such as {@code /v1/chat/completions}
 * @param body the caller's body
 * @param cancellation ends the call while it waits for the engine
 */
public record EngineCall(String requestId, String owner, String path, ObjectNode body, Cancellation cancellation) {

}
