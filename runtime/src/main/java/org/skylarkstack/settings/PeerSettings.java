package org.skylarkstack.settings;

/**
 * Settings for another daemon of the fleet.
 *
 * @param vmId the id of the VM that the daemon runs on
 * @param dataCentre its data centre
 * @param address the address on which it accepts peer connections
 */
public record PeerSettings(String vmId, String dataCentre, ListenAddress address) {

}
