package org.skylarkstack.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PeerGroups}.
 */
class PeerGroupsTests {

	private static List<Peer> fleet(int size) {
		List<Peer> fleet = new ArrayList<>();
		for (int number = 0; number < size; number++) {
			fleet.add(new Peer("vm-" + number, "dc-" + number % 4, new InetSocketAddress("127.0.0.1", 1 + number)));
		}
		return fleet;
	}

	private static PeerGroups groups(List<Peer> fleet, Peer self) {
		List<Peer> others = new ArrayList<>(fleet);
		others.remove(self);
		return new PeerGroups(self, others);
	}

	/** Guards against relaying reports in a small fleet, which would delay them. */
	@Test
	void smallFleetFormsSingleGroup() {
		List<Peer> fleet = fleet(12);
		for (Peer self : fleet) {
			PeerGroups groups = groups(fleet, self);
			assertThat(groups.otherMembers()).hasSize(11);
			assertThat(groups.otherMembers()).doesNotContain(self);
			assertThat(groups.relayTargets(1)).isEmpty();
		}
	}

	/**
	 * Guards against daemons that never receive the reports of some others, whatever the
	 * round number.
	 */
	@Test
	void reportsReachEveryDaemonInEachRound() {
		for (int size : new int[] { 13, 25, 73, 350 }) {
			List<Peer> fleet = fleet(size);
			for (long round : new long[] { 0, 1, 17 }) {
				Map<Peer, Set<Peer>> receivedReports = new HashMap<>();
				for (Peer sender : fleet) {
					PeerGroups groups = groups(fleet, sender);
					groups.otherMembers()
						.forEach((peer) -> receivedReports.computeIfAbsent(peer, (key) -> new HashSet<>()).add(sender));
					for (Peer target : groups.relayTargets(round)) {
						Set<Peer> known = receivedReports.computeIfAbsent(target, (key) -> new HashSet<>());
						assertThat(known).doesNotContain(sender);
						known.add(sender);
						known.addAll(groups.otherMembers());
					}
				}
				for (Peer peer : fleet) {
					assertThat(receivedReports.get(peer)).hasSize(size - 1);
				}
			}
		}
	}

	/**
	 * Guards against traffic per daemon that grows in proportion to the fleet size.
	 */
	@Test
	void targetsGrowWithSquareRootOfFleetSize() {
		List<Peer> fleet = fleet(350);
		for (Peer self : fleet) {
			PeerGroups groups = groups(fleet, self);
			assertThat(groups.otherMembers().size()).isAtMost(19);
			assertThat(groups.relayTargets(3).size()).isAtMost(2 * 19);
		}
	}

	/**
	 * Guards against a failed daemon that withholds its group's reports from another
	 * daemon permanently.
	 */
	@Test
	void relayTargetsShiftEachRound() {
		List<Peer> fleet = fleet(73);
		Peer target = fleet.get(72);
		Peer self = fleet.get(0);
		PeerGroups groups = groups(fleet, self);
		int hits = 0;
		int rounds = groups.otherMembers().size() + 1;
		for (int round = 0; round < rounds; round++) {
			hits += groups.relayTargets(round).contains(target) ? 1 : 0;
		}
		assertThat(hits).isEqualTo(1);
	}

}
