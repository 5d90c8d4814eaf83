package org.skylarkstack.membership;

import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

import org.skylarkstack.misc.Hashes;

/**
 * Immutable list of the live members, this daemon included.
 *
 * @param self this daemon's VM
 * @param members the live members by VM
 */
public record MembershipView(String self, SortedMap<String, Member> members) {

	/** Copies the members. */
	public MembershipView {
		members = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(members));
	}

	/**
	 * Returns the soft owner of a key: the live member that is not leaving with the
	 * highest rendezvous hash. Two daemons may disagree about it.
	 * @param key the key
	 * @return the VM; this daemon itself if there is no other
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
