package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the daemons to which a daemon sends its own usage report, and those to which it
 * relays the reports of its group.
 *
 * <p>
 * All daemons, sorted by data centre and VM name, are divided into groups of about equal
 * size. Within a group, each daemon sends its own report to every other member. Between
 * groups, each daemon relays the reports that it has received from its own group, and the
 * members of the group share this work: in each round, every daemon outside the group
 * receives the group's reports from exactly one member. Daemons derive the round number
 * from the time of day, so they agree on it as far as their clocks agree. Each round
 * shifts the assignment of members to targets by one, so that a failed member withholds
 * its group's reports from a daemon for one round only.
 *
 * <p>
 * With a group size of the square root of the fleet size, a daemon sends about twice that
 * many datagrams per round, and a report reaches every daemon within two rounds. A small
 * fleet forms a single group. Daemons whose lists of the fleet differ temporarily select
 * other targets; this does no harm, because each report names its sender and carries a
 * sequence number.
 *
 * <p>
 * The relay serves fleets so large that each daemon starts a stream only occasionally:
 * whether a stream fits at an engine then depends on the memory that the requests of
 * other daemons occupy there.
 */
final class PeerGroups {

	// A fleet of up to this many daemons forms a single group.
	static final int MIN_GROUP_SIZE = 12;

	private static final Comparator<Peer> ORDER = Comparator.comparing(Peer::dataCentre).thenComparing(Peer::vmId);

	private final List<List<Peer>> otherGroups = new ArrayList<>();

	private List<Peer> ownGroup = List.of();

	private int ownPosition;

	/**
	 * Divides a fleet into groups.
	 * @param self this daemon
	 * @param peers the other daemons
	 */
	PeerGroups(Peer self, Collection<Peer> peers) {
		List<Peer> fleet = new ArrayList<>(peers);
		fleet.add(self);
		fleet.sort(ORDER);
		int size = Math.max(MIN_GROUP_SIZE, (int) Math.ceil(Math.sqrt(fleet.size())));
		int groups = (fleet.size() + size - 1) / size;
		for (int number = 0; number < groups; number++) {
			List<Peer> members = fleet.subList(number * fleet.size() / groups, (number + 1) * fleet.size() / groups);
			int position = members.indexOf(self);
			if (position >= 0) {
				this.ownGroup = members;
				this.ownPosition = position;
			}
			else {
				this.otherGroups.add(members);
			}
		}
	}

	/**
	 * Returns the daemons that receive this daemon's own report in each round.
	 * @return the other members of its group
	 */
	List<Peer> otherMembers() {
		List<Peer> otherMembers = new ArrayList<>(this.ownGroup);
		otherMembers.remove(this.ownPosition);
		return otherMembers;
	}

	/**
	 * Returns the daemons to which this daemon relays the reports of its group.
	 * @param round the round number, which all daemons derive from the time of day
	 * @return daemons of other groups
	 */
	List<Peer> relayTargets(long round) {
		List<Peer> targets = new ArrayList<>();
		for (List<Peer> members : this.otherGroups) {
			for (int position = 0; position < members.size(); position++) {
				if (Math.floorMod(position + round, this.ownGroup.size()) == this.ownPosition) {
					targets.add(members.get(position));
				}
			}
		}
		return targets;
	}

}
