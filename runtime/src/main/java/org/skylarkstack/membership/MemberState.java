package org.skylarkstack.membership;

/**
 * State of a peer in the membership table.
 */
public enum MemberState {

	/** A heartbeat arrived within the last periods. */
	LIVE,

	/** Heartbeats are missing, but the platform's list may still name the VM. */
	SUSPECT

}
