package org.skylarkstack.daemon;

import java.util.TreeMap;

import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;

/**
 * Membership of a daemon that knows no other.
 */
final class SingleMembership implements Membership {

	private final MembershipView view;

	private final long incarnation;

	SingleMembership(String vmId, String dataCentre, long incarnation) {
		TreeMap<String, Member> members = new TreeMap<>();
		members.put(vmId, new Member(vmId, incarnation, dataCentre, false));
		this.view = new MembershipView(vmId, members);
		this.incarnation = incarnation;
	}

	@Override
	public MembershipView view() {
		return this.view;
	}

	@Override
	public long incarnation() {
		return this.incarnation;
	}

}
