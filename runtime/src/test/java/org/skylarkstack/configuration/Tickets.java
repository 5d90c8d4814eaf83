package org.skylarkstack.configuration;

import java.util.List;

import org.skylarkstack.misc.Hashes;

/**
 * Creates tickets and configuration objects for tests.
 */
final class Tickets {

	private Tickets() {
	}

	static Team team(String id) {
		return new Team(id, 1_000, 5_000, 1, null);
	}

	static ApiKey key(String id, String teamId) {
		return new ApiKey(id, Hashes.sha256(id), teamId);
	}

	static EngineNode engine(String id, String model) {
		return new EngineNode(id, "http://127.0.0.1:1", "dc", model, EngineRole.BOTH, 1, 1, 1, false, false);
	}

	static Ticket ticket(long number, String author, ConfigurationObject... objects) {
		return new Ticket(number, author, List.of(objects).stream().map(TicketChange::set).toList());
	}

	static Ticket deletion(long number, ObjectKind kind, String id) {
		return new Ticket(number, "ann", List.of(TicketChange.delete(kind, id)));
	}

}
