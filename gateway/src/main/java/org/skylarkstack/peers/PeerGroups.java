package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Decides to whom a daemon sends its usage, and to whom it relays the usage of its group.
 *
 * <p>
 * All daemons, sorted by data centre and name, are cut into groups of about equal size.
 * Within a group each daemon sends its own report to every other one. Between groups each
 * daemon relays the reports that it holds of its own group, and the members of the group
 * share that work: in each round every daemon outside gets the reports from exactly one
 * member. Daemons take the number of the round from the time of day, so that they agree
 * on it as far as their clocks do. The round moves the pairs on by one, so that a member
 * that is lost withholds its group from a daemon for one round only.
 *
 * <p>
 * With groups of the square root of the fleet, a daemon sends about twice that many
 * datagrams a round, and usage reaches everyone within two rounds. A small fleet is one
 * group. Daemons that do not agree on the list for a moment send to other pairs, which
 * does no harm, as each report names its sender and its number.
 *
 * <p>
 * Answers the load pattern of a fleet so large that each daemon starts a stream only now
 * and then: what the others hold at an engine decides where it fits.
 */
final class PeerGroups {

	// A fleet of up to this many daemons is one group.
	private static final int MIN_GROUP = 12;

	private static final Comparator<Peer> ORDER = Comparator.comparing(Peer::dataCentre).thenComparing(Peer::vmId);

	private final List<List<Peer>> others = new ArrayList<>();

	private List<Peer> group = List.of();

	private int index;

	/**
	 * Cuts a fleet into groups.
	 * @param self this daemon
	 * @param peers the other daemons
	 */
	PeerGroups(Peer self, Collection<Peer> peers) {
		List<Peer> fleet = new ArrayList<>(peers);
		fleet.add(self);
		fleet.sort(ORDER);
		int size = Math.max(MIN_GROUP, (int) Math.ceil(Math.sqrt(fleet.size())));
		int groups = (fleet.size() + size - 1) / size;
		for (int number = 0; number < groups; number++) {
			List<Peer> members = fleet.subList(number * fleet.size() / groups, (number + 1) * fleet.size() / groups);
			int position = members.indexOf(self);
			if (position >= 0) {
				this.group = members;
				this.index = position;
			}
			else {
				this.others.add(members);
			}
		}
	}

	/**
	 * Returns who gets this daemon's own report in each round.
	 * @return the other members of its group
	 */
	List<Peer> near() {
		List<Peer> near = new ArrayList<>(this.group);
		near.remove(this.index);
		return near;
	}

	/**
	 * Returns who gets the reports of the whole group from this daemon.
	 * @param round the number of the round
	 * @return daemons of other groups
	 */
	List<Peer> relayTargets(long round) {
		List<Peer> targets = new ArrayList<>();
		for (List<Peer> members : this.others) {
			for (int position = 0; position < members.size(); position++) {
				if (Math.floorMod(position + round, this.group.size()) == this.index) {
					targets.add(members.get(position));
				}
			}
		}
		return targets;
	}

}
