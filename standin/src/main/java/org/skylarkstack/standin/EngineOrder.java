package org.skylarkstack.standin;

/**
 * Order to change what an engine serves, as applied by a stand-in engine.
 *
 * @param kind the kind of order: {@code load_model}, {@code load_adapter},
 * {@code unload_adapter}, {@code load_version} or {@code change_role}
 * @param target the model, adapter, version or role
 * @param fencingNumber the fencing number (fencing token) of the lease holder that sent
 * the order
 */
public record EngineOrder(String kind, String target, long fencingNumber) {

}
