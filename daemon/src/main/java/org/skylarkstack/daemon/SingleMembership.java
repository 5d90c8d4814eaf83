package org.skylarkstack.daemon;

import java.util.TreeMap;

import org.skylarkstack.membership.Member;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;

/**
 * Membership of a daemon that knows no other.
 *
 * @param view the view with this daemon alone
 * @param incarnation the random number of this start
 */
record SingleMembership(MembershipView view, long incarnation) implements Membership {

	static SingleMembership of(String vmId, String dataCentre, long incarnation) {
		TreeMap<String, Member> members = new TreeMap<>();
		members.put(vmId, new Member(vmId, incarnation, dataCentre, false));
		return new SingleMembership(new MembershipView(vmId, members), incarnation);
	}

}
