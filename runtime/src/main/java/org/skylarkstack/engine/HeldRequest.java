package org.skylarkstack.engine;

/**
 * Memory that an engine holds for a request.
 *
 * @param requestId the id of the attempt
 * @param owner the VM and incarnation that own the request
 * @param kind the kind of work that the memory is held for, as reported by the engine
 * @param pieces the amount of memory, in pieces
 * @param idleMillis the time since the engine last had contact with the owner, in
 * milliseconds
 */
public record HeldRequest(String requestId, String owner, String kind, int pieces, long idleMillis) {

}
