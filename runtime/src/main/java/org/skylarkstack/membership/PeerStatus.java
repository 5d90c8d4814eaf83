package org.skylarkstack.membership;

/**
 * Status of a peer according to its heartbeats and the platform's VM list.
 *
 * @param member the peer
 * @param state whether the peer is live or suspect
 * @param lastHeartbeatNanos the time at which the last heartbeat arrived, in this VM's
 * monotonic time in nanoseconds
 * @param peerSentNanos the peer's timestamp in its last heartbeat
 * @param lastEchoNanos this VM's latest timestamp that the peer echoed; the arrival time
 * of the peer's first heartbeat if the peer has echoed none
 * @param echoed whether the peer's incarnation has echoed a timestamp of this daemon's
 * incarnation
 * @param appliedNumber the peer's applied ticket number
 * @param listed whether the platform's list has contained the VM since its heartbeats
 * began, or in the last read before that
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
