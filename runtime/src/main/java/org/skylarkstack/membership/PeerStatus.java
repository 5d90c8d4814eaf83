package org.skylarkstack.membership;

/**
 * What this daemon knows about a peer.
 *
 * @param member the peer
 * @param state whether heartbeats arrive
 * @param lastHeartbeatNanos when the last heartbeat arrived, in this VM's monotonic time
 * @param peerSentNanos the peer's timestamp in its last heartbeat
 * @param lastEchoNanos this VM's latest timestamp that the peer echoed
 * @param echoed whether the peer has echoed a timestamp of this start
 * @param appliedNumber the peer's applied ticket number
 * @param listed whether the platform's list has named the VM since its heartbeats began
 */
public record PeerStatus(Member member, MemberState state, long lastHeartbeatNanos, long peerSentNanos,
		long lastEchoNanos, boolean echoed, long appliedNumber, boolean listed) {

	PeerStatus withState(MemberState newState) {
		return new PeerStatus(this.member, newState, this.lastHeartbeatNanos, this.peerSentNanos, this.lastEchoNanos,
				this.echoed, this.appliedNumber, this.listed);
	}

	PeerStatus withListed() {
		return new PeerStatus(this.member, this.state, this.lastHeartbeatNanos, this.peerSentNanos, this.lastEchoNanos,
				this.echoed, this.appliedNumber, true);
	}

}
