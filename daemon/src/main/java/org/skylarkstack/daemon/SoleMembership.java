package org.skylarkstack.daemon;

import java.security.SecureRandom;
import java.util.TreeMap;

import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;

/**
 * Membership of a daemon that knows no peers.
 */
final class SoleMembership implements Membership {

	private final long incarnation = new SecureRandom().nextLong();

	private final MembershipView view;

	SoleMembership(String vmId, String dataCentre) {
		TreeMap<String, Member> members = new TreeMap<>();
		members.put(vmId, new Member(vmId, this.incarnation, dataCentre, false));
		this.view = new MembershipView(vmId, members);
	}

	@Override
	public MembershipView view() {
		return this.view;
	}

	@Override
	public long incarnation() {
		return this.incarnation;
	}

	@Override
	public boolean isDead(String vmId, long incarnation) {
		return false;
	}

}
