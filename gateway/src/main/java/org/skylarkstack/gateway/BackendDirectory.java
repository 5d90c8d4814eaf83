package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Backend servers that are announced, by identifier. A server that is announced with
 * another birth time is a new one. Confined to one thread.
 */
public final class BackendDirectory {

	private final Map<String, BackendState> states = new HashMap<>();

	/**
	 * Takes an announcement, unless it is of a life that is over.
	 * @param node the announced server
	 */
	public void announce(BackendNode node) {
		BackendState known = this.states.get(node.id());
		if (known != null && known.node().sameLife(node)) {
			known.update(node);
		}
		else if (known == null || known.node().bornMillis() < node.bornMillis()) {
			this.states.put(node.id(), new BackendState(node));
		}
	}

	/**
	 * Takes note that a server is no longer announced.
	 * @param id the identifier
	 */
	public void remove(String id) {
		this.states.remove(id);
	}

	/**
	 * Returns the servers that may get new requests.
	 * @param service the service
	 * @param stage the role
	 * @param exclude servers to leave out
	 * @return the servers
	 */
	public List<BackendState> candidates(String service, Stage stage, Predicate<BackendNode> exclude) {
		List<BackendState> found = new ArrayList<>();
		for (BackendState state : this.states.values()) {
			BackendNode node = state.node();
			if (node.service().equals(service) && node.stage() == stage && !node.draining() && !exclude.test(node)) {
				found.add(state);
			}
		}
		return found;
	}

	/**
	 * Returns the state of a server.
	 * @param id the identifier
	 * @return the state, or {@code null} if it is not announced
	 */
	public @Nullable BackendState find(String id) {
		return this.states.get(id);
	}

	/**
	 * Returns all servers.
	 * @return the states
	 */
	public Collection<BackendState> all() {
		return this.states.values();
	}

}
