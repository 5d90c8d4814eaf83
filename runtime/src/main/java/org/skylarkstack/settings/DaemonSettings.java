package org.skylarkstack.settings;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon.
 *
 * @param vmId the id of the VM that this daemon runs on
 * @param dataCentre the data centre of the VM
 * @param callerAddress the listen address for callers
 * @param operatorAddress the listen address for operators
 * @param peerAddress the listen address for other daemons
 * @param peers the other daemons of the fleet
 * @param platform the endpoints and credentials of the platform's services
 * @param sharedSecret the secret with which daemons authenticate each other
 * @param operatorKeyHash the SHA-256 hash of the operators' key in hexadecimal
 * @param slotCount the number of rate-limit slots of the fleet
 * @param placementPolicy the name of the placement policy
 * @param callerLimits the limits on requests, or {@code null} for the defaults
 * @param backendTimeouts the timeouts, or {@code null} for the defaults
 */
public record DaemonSettings(String vmId, String dataCentre, ListenAddress callerAddress, ListenAddress operatorAddress,
		ListenAddress peerAddress, List<PeerSettings> peers, PlatformSettings platform, String sharedSecret,
		String operatorKeyHash, int slotCount, String placementPolicy, CallerLimits callerLimits,
		BackendTimeouts backendTimeouts) {

	/**
	 * Replaces missing limits and timeouts by the defaults and copies the list of peers.
	 */
	public DaemonSettings(String vmId, String dataCentre, ListenAddress callerAddress, ListenAddress operatorAddress,
			ListenAddress peerAddress, List<PeerSettings> peers, PlatformSettings platform, String sharedSecret,
			String operatorKeyHash, int slotCount, String placementPolicy, @Nullable CallerLimits callerLimits,
			@Nullable BackendTimeouts backendTimeouts) {
		this.vmId = vmId;
		this.dataCentre = dataCentre;
		this.callerAddress = callerAddress;
		this.operatorAddress = operatorAddress;
		this.peerAddress = peerAddress;
		this.peers = List.copyOf(peers);
		this.platform = platform;
		this.sharedSecret = sharedSecret;
		this.operatorKeyHash = operatorKeyHash;
		this.slotCount = slotCount;
		this.placementPolicy = placementPolicy;
		this.callerLimits = (callerLimits != null) ? callerLimits : CallerLimits.DEFAULT;
		this.backendTimeouts = (backendTimeouts != null) ? backendTimeouts : BackendTimeouts.DEFAULT;
	}

	@Override
	public String toString() {
		return "DaemonSettings[vmId=" + this.vmId + ", dataCentre=" + this.dataCentre + "]";
	}

}
