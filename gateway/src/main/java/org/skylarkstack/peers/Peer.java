package org.skylarkstack.peers;

import java.net.InetSocketAddress;

/**
 * Another daemon, or this one, as its peers reach it.
 *
 * @param vmId the name of its VM
 * @param dataCentre its data centre
 * @param address where it takes reports
 */
public record Peer(String vmId, String dataCentre, InetSocketAddress address) {

}
