package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against a configuration that reverts to older objects or differs between VMs
 * because tickets arrived late, twice or out of order.
 */
class ConfigurationMergeTests {

	private static final int OBJECTS = 6;

	private static final VersionedObject NEVER_SET = new VersionedObject(0, null);

	@Property(seed = "20261204")
	void anyOrderAndGroupingGivesTheSameState(@ForAll long seed, @ForAll @IntRange(min = 1, max = 40) int count) {
		Random random = new Random(seed);
		List<Ticket> tickets = tickets(random, count);
		Configuration expected = Configuration.EMPTY;
		for (Ticket ticket : tickets) {
			expected = expected.apply(ticket);
		}
		List<Ticket> delivered = new ArrayList<>(tickets);
		delivered.addAll(tickets.subList(0, random.nextInt(count)));
		Collections.shuffle(delivered, random);
		Configuration left = Configuration.EMPTY;
		Configuration right = Configuration.EMPTY;
		for (Ticket ticket : delivered) {
			if (random.nextBoolean()) {
				left = left.apply(ticket);
			}
			else {
				right = right.apply(List.of(ticket, ticket));
			}
			Configuration next = (random.nextInt(4) == 0) ? left.merge(right) : left;
			left.objects()
				.forEach((key, state) -> assertThat(next.objects().getOrDefault(key, NEVER_SET).ticketNumber())
					.isAtLeast(state.ticketNumber()));
			left = next;
		}
		assertSame(left.merge(right), expected);
		assertSame(right.merge(left), expected);
		assertSame(left.merge(right).merge(left), expected);
	}

	@Property(seed = "20261204")
	void aStaleTicketNeverReverts(@ForAll long seed, @ForAll @IntRange(min = 2, max = 40) int count) {
		Random random = new Random(seed);
		List<Ticket> tickets = tickets(random, count);
		Configuration state = Configuration.EMPTY;
		for (Ticket ticket : tickets) {
			Configuration before = state.apply(ticket);
			state = before.apply(tickets.get(random.nextInt((int) ticket.number())));
			assertSame(state, before);
			assertThat(state.appliedNumber()).isEqualTo(ticket.number());
		}
	}

	private static void assertSame(Configuration actual, Configuration expected) {
		assertThat(actual.objects()).isEqualTo(expected.objects());
		assertThat(actual.appliedNumber()).isEqualTo(expected.appliedNumber());
		assertThat(actual.aheadNumbers()).isEqualTo(expected.aheadNumbers());
	}

	private static List<Ticket> tickets(Random random, int count) {
		List<Ticket> tickets = new ArrayList<>();
		for (int number = 1; number <= count; number++) {
			String id = "team-" + random.nextInt(OBJECTS);
			tickets.add((random.nextInt(4) == 0) ? Tickets.deletion(number, ObjectKind.TEAM, id)
					: Tickets.ticket(number, "ann", new Team(id, 1 + random.nextInt(9), 1, 1, null)));
		}
		return tickets;
	}

}
