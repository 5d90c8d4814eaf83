package org.skylarkstack.standin;

/**
 * Order that a stand-in engine carried out.
 *
 * @param kind what was ordered: {@code load_model}, {@code load_adapter},
 * {@code unload_adapter}, {@code load_version} or {@code change_role}
 * @param target the model, adapter, version or role
 * @param fencingNumber the fencing number of the holder
 */
public record EngineOrder(String kind, String target, long fencingNumber) {

}
