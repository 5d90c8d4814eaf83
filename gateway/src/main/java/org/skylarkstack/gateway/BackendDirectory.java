package org.skylarkstack.gateway;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.coldness.ColdBounds;
import org.skylarkstack.coldness.ColdLimit;
import org.skylarkstack.coldness.ColdPolicies;
import org.skylarkstack.evacuation.Evacuations;
import org.skylarkstack.share.LimitShares;

/**
 * The announced backend servers by identifier. Each new incarnation of a server begins
 * with an empty state. {@link AnnouncementOrder} decides which announcement holds.
 * Confined to one thread.
 */
public final class BackendDirectory {

	private final Map<String, BackendState> states = new HashMap<>();

	private final AnnouncementOrder order = new AnnouncementOrder();

	private final LimitShares shares;

	private final Evacuations evacuations = new Evacuations();

	private final ColdPolicies coldPolicies;

	private final Map<String, ServerCondition> conditions = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, ServerCondition> eldest) {
			return size() > BackendDirectory.this.states.size() + AnnouncementOrder.MAX_REMOVED_SERVERS;
		}

	};

	/**
	 * Creates a directory without servers.
	 * @param shares divides the limits of servers among the daemons
	 */
	public BackendDirectory(LimitShares shares) {
		this(shares, ColdBounds.DEFAULT);
	}

	/**
	 * Creates a directory without servers.
	 * @param shares divides the limits of servers among the daemons
	 * @param coldBounds bounds the requests that cold servers receive
	 */
	public BackendDirectory(LimitShares shares, ColdBounds coldBounds) {
		this.shares = shares;
		this.coldPolicies = new ColdPolicies(coldBounds);
	}

	/**
	 * Returns the data centres whose servers get no requests.
	 * @return the evacuations, updated in place
	 */
	public Evacuations evacuations() {
		return this.evacuations;
	}

	/**
	 * Returns the policies of all services for cold servers.
	 * @return the policies, updated in place
	 */
	public ColdPolicies coldPolicies() {
		return this.coldPolicies;
	}

	/**
	 * Applies the remaining cold time of an announcement, if that announcement holds.
	 * @param announced the announcement
	 * @param receivedNanos when it was received, as monotonic time in nanoseconds
	 */
	public void recordColdTime(BackendNode announced, long receivedNanos) {
		BackendState state = this.states.get(announced.id());
		if (state != null && state.node().sameIncarnation(announced)
				&& state.node().sequenceNumber() == announced.sequenceNumber()) {
			state.condition().announceColdTime(announced, receivedNanos);
		}
	}

	/**
	 * Registers an announced server, unless a later statement about it is known.
	 * @param announced the announced server
	 * @return whether the announcement holds, at least in part
	 */
	public boolean register(BackendNode announced) {
		return register(announced, false);
	}

	/**
	 * Registers a server whose announcement the store has kept for longer than that of a
	 * silent server, even if the server was removed before.
	 * @param announced the announced server
	 */
	public void registerConfirmed(BackendNode announced) {
		register(announced, true);
	}

	private boolean register(BackendNode announced, boolean confirmed) {
		BackendState state = this.states.get(announced.id());
		BackendNode known = (state != null) ? state.node() : null;
		BackendNode current = this.order.announce(known, announced, confirmed);
		if (current == null || current.equals(known)) {
			return announced.equals(known);
		}
		if (state != null && state.node().sameIncarnation(current)) {
			state.update(current);
		}
		else {
			this.states.put(current.id(), new BackendState(current, condition(current)));
		}
		return true;
	}

	private ServerCondition condition(BackendNode node) {
		ServerCondition known = this.conditions.remove(node.id());
		ServerCondition current = (known != null && known.belongsTo(node)) ? known
				: new ServerCondition(node.id(), node.startedMillis(), this.shares,
						new ColdLimit(node.id(), node.service(), this.shares, this.coldPolicies));
		this.conditions.put(node.id(), current);
		return current;
	}

	/**
	 * Removes a server that is no longer announced.
	 * @param id the identifier of the server
	 */
	public void remove(String id) {
		BackendState removed = this.states.remove(id);
		if (removed != null) {
			this.order.remove(removed.node());
		}
	}

	/**
	 * Removes a server whose announcement is unusable. Unlike a removed server, it may be
	 * announced again without a later statement of its own, unless it was leaving.
	 * @param id the identifier of the server
	 */
	public void discard(String id) {
		BackendState state = this.states.get(id);
		if (state != null && state.node().draining()) {
			remove(id);
		}
		else {
			this.states.remove(id);
		}
	}

	/**
	 * Returns the servers that may get new requests, which excludes those that leave by
	 * their announcement or their responses, and those of evacuated data centres.
	 * @param service the service that the servers belong to
	 * @param role the role that the servers have
	 * @param exclude matches the servers to leave out
	 * @return the servers, in no particular order
	 */
	public List<BackendState> candidates(String service, BackendRole role, Predicate<BackendNode> exclude) {
		List<BackendState> found = new ArrayList<>();
		for (BackendState state : this.states.values()) {
			BackendNode node = state.node();
			if (node.service().equals(service) && node.role() == role && mayGetRequests(state) && !exclude.test(node)) {
				found.add(state);
			}
		}
		return found;
	}

	private boolean mayGetRequests(BackendState state) {
		return !isEvacuated(state.node()) && isStaying(state);
	}

	private static boolean isStaying(BackendState state) {
		return !state.node().draining() && !state.condition().isLeaving();
	}

	/**
	 * Returns whether a server is in an evacuated data centre.
	 * @param node the server
	 * @return whether nothing may be sent to it
	 */
	boolean isEvacuated(BackendNode node) {
		return this.evacuations.contains(node.dataCentre());
	}

	/**
	 * Returns whether a service has servers only in evacuated data centres.
	 * @param service the service
	 * @param role the role that the servers have
	 * @return {@code false} also if the service has no servers
	 */
	boolean isEvacuated(String service, BackendRole role) {
		return !this.evacuations.isEmpty() && candidates(service, role, (node) -> false).isEmpty()
				&& this.states.values()
					.stream()
					.anyMatch((state) -> state.node().service().equals(service) && state.node().role() == role
							&& isStaying(state));
	}

	/**
	 * Returns whether a call that is not a caller's request may be sent to a server, such
	 * as the release of a prefill result. Such a call is omitted rather than delayed.
	 * @param chosen the state of the server
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the server is not evacuated and the call is within its cold limit
	 */
	boolean mayCall(BackendState chosen, long nowNanos) {
		return !isEvacuated(chosen.node()) && chosen.condition().coldLimit().waitNanos(nowNanos) == 0;
	}

	/**
	 * Returns the servers that are used first: cold servers are used only if there is no
	 * other one.
	 * @param servers the servers to choose from
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the servers that are not cold, or all servers if all are cold
	 */
	static List<BackendState> warmIfAny(List<BackendState> servers, long nowNanos) {
		List<BackendState> warm = servers.stream().filter((server) -> !server.isCold(nowNanos)).toList();
		return warm.isEmpty() ? servers : warm;
	}

	/**
	 * Returns the servers that take a request of this daemon now.
	 * @param service the service that the servers belong to
	 * @param role the role that the servers have
	 * @param exclude matches the servers to leave out
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the servers, in no particular order
	 */
	List<BackendState> accepting(String service, BackendRole role, Predicate<BackendNode> exclude, long nowNanos) {
		List<BackendState> found = candidates(service, role, exclude);
		found.removeIf((state) -> !state.condition().accepts(nowNanos));
		return found;
	}

	/**
	 * Returns when a server of a service takes a request of this daemon.
	 * @param service the service
	 * @param role the role that the server has
	 * @param exclude matches the servers to leave out
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 if one takes a request now or there
	 * is none
	 */
	long waitNanos(String service, BackendRole role, Predicate<BackendNode> exclude, long nowNanos) {
		return candidates(service, role, exclude).stream()
			.mapToLong((state) -> state.condition().waitNanos(nowNanos))
			.min()
			.orElse(0);
	}

	/**
	 * Returns when a server of a service takes a request of some daemon. Refused callers
	 * mostly reach another daemon when they try again.
	 * @param service the service
	 * @param role the role that the server has
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 if one takes a request now or there
	 * is none
	 */
	long fleetWaitNanos(String service, BackendRole role, long nowNanos) {
		return candidates(service, role, (node) -> false).stream()
			.mapToLong((state) -> state.condition().fleetWaitNanos(nowNanos))
			.min()
			.orElse(0);
	}

	/**
	 * Returns whether a server that was chosen before may still get new requests.
	 * @param chosen the state of the server when it was chosen
	 * @return {@code false} if it has been removed, has restarted, leaves or is in an
	 * evacuated data centre
	 */
	boolean isAvailable(BackendState chosen) {
		return this.states.get(chosen.node().id()) == chosen && mayGetRequests(chosen);
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
