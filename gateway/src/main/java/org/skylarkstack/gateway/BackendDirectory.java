package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * The announced backend servers by identifier. An announcement with a later start time
 * than the known one belongs to a new incarnation, which begins with an empty state.
 * Confined to one thread.
 */
public final class BackendDirectory {

	private final Map<String, BackendState> states = new HashMap<>();

	/**
	 * Registers an announced server, unless it is an earlier incarnation of a known one.
	 * @param node the announced server
	 */
	public void register(BackendNode node) {
		BackendState known = this.states.get(node.id());
		if (known != null && known.node().sameIncarnation(node)) {
			known.update(node);
		}
		else if (known == null || known.node().startedMillis() < node.startedMillis()) {
			this.states.put(node.id(), new BackendState(node));
		}
	}

	/**
	 * Removes a server that is no longer announced.
	 * @param id the identifier of the server
	 */
	public void remove(String id) {
		this.states.remove(id);
	}

	/**
	 * Returns the servers that may get new requests, which excludes draining ones.
	 * @param service the service that the servers belong to
	 * @param role the role that the servers have
	 * @param exclude matches the servers to leave out
	 * @return the servers, in no particular order
	 */
	public List<BackendState> candidates(String service, BackendRole role, Predicate<BackendNode> exclude) {
		List<BackendState> found = new ArrayList<>();
		for (BackendState state : this.states.values()) {
			BackendNode node = state.node();
			if (node.service().equals(service) && node.role() == role && !node.draining() && !exclude.test(node)) {
				found.add(state);
			}
		}
		return found;
	}

	/**
	 * Returns the state of a server.
	 * @param id the identifier of the server
	 * @return the state, or {@code null} if it is not announced
	 */
	public @Nullable BackendState find(String id) {
		return this.states.get(id);
	}

	/**
	 * Returns the states of all announced servers.
	 * @return a live view of the states, draining servers included
	 */
	public Collection<BackendState> all() {
		return this.states.values();
	}

}
