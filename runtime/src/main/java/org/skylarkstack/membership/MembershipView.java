package org.skylarkstack.membership;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.skylarkstack.misc.Hashes;

/**
 * Immutable snapshot of the live members, including this daemon.
 *
 * @param self the VM of this daemon
 * @param members the live members by VM
 */
public record MembershipView(String self, SortedMap<String, Member> members) {

	/** Copies the members. */
	public MembershipView {
		members = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(members));
	}

	/**
	 * Returns the soft owner of a key: among the live members that are not leaving, the
	 * one with the highest rendezvous hash. The ownership is not exclusive, because
	 * daemons with different views may determine different owners.
	 * @param key the key
	 * @return the VM of the owner; this daemon's own VM if all members are leaving
	 */
	public String softOwner(String key) {
		List<String> candidates = this.members.values()
			.stream()
			.filter((member) -> !member.leaving())
			.map(Member::vmId)
			.toList();
		return Optional.ofNullable(Hashes.rendezvous(key, candidates)).orElse(this.self);
	}

	/**
	 * Returns whether a member is live in this view.
	 * @param vmId the VM
	 * @return whether it is live
	 */
	public boolean isLive(String vmId) {
		return this.members.containsKey(vmId);
	}

}
