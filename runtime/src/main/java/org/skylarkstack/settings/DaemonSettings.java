package org.skylarkstack.settings;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Settings of one daemon.
 *
 * @param vmId the VM
 * @param dataCentre the data centre
 * @param callerAddress where callers connect
 * @param operatorAddress where operators connect
 * @param peerAddress where other daemons connect
 * @param peers the other daemons
 * @param platform the platform's services
 * @param sharedSecret proves daemons to each other
 * @param operatorKeyHash the SHA-256 hash of the operators' key in hexadecimal
 * @param slotCount the number of rate slots of the fleet
 * @param placementPolicy the name of the placement policy
 * @param callerLimits bounds on callers, or {@code null} for the defaults
 * @param backendTimeouts idle bounds, or {@code null} for the defaults
 */
public record DaemonSettings(String vmId, String dataCentre, ListenAddress callerAddress, ListenAddress operatorAddress,
		ListenAddress peerAddress, List<PeerSettings> peers, PlatformSettings platform, String sharedSecret,
		String operatorKeyHash, int slotCount, String placementPolicy, CallerLimits callerLimits,
		BackendTimeouts backendTimeouts) {

	/** Fills in defaults and copies the lists. */
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
