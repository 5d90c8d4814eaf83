package org.skylarkstack.settings;

/**
 * Another daemon of the fleet.
 *
 * @param vmId the VM
 * @param dataCentre its data centre
 * @param address its peer address
 */
public record PeerSettings(String vmId, String dataCentre, ListenAddress address) {

}
