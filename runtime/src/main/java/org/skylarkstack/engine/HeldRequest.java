package org.skylarkstack.engine;

/**
 * Memory that an engine holds for a request.
 *
 * @param requestId the request
 * @param owner the VM and incarnation that hold the request
 * @param kind what is held
 * @param pieces the memory in pieces
 * @param idleMillis the time since the engine last heard from the owner, in milliseconds
 */
public record HeldRequest(String requestId, String owner, String kind, int pieces, long idleMillis) {

}
