package org.skylarkstack.peers;

import java.net.InetSocketAddress;

/**
 * Name and address of a daemon, either this one or another.
 *
 * @param vmId the name of the VM that it runs on
 * @param dataCentre the data centre of the VM
 * @param address the UDP address on which it receives usage reports
 */
public record Peer(String vmId, String dataCentre, InetSocketAddress address) {

}
