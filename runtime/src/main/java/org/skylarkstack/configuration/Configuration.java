package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * Immutable configuration, built by merging tickets.
 *
 * <p>
 * Each object carries the number of the ticket that last set it, and a merge keeps the
 * state with the higher number for each object. A merge is therefore commutative,
 * associative and idempotent, and a ticket never overwrites the state that a ticket with
 * a higher number set. Deleted objects are kept as tombstones.
 */
public final class Configuration {

	/** The configuration before the first ticket. */
	public static final Configuration EMPTY = new Configuration(0, new TreeSet<>(), Map.of());

	private final long appliedNumber;

	private final NavigableSet<Long> ahead;

	private final Map<ObjectKey, VersionedObject> objects;

	private final Map<String, ApiKey> keysByHash = new HashMap<>();

	private final List<Route> routes;

	private final Map<String, List<EngineNode>> enginesByModel;

	private Configuration(long appliedNumber, NavigableSet<Long> contained, Map<ObjectKey, VersionedObject> objects) {
		this.objects = objects;
		this.ahead = new TreeSet<>(contained.tailSet(appliedNumber, false));
		long applied = appliedNumber;
		while (this.ahead.remove(applied + 1)) {
			applied++;
		}
		this.appliedNumber = applied;
		List<Route> liveRoutes = new ArrayList<>();
		List<EngineNode> liveEngines = new ArrayList<>();
		for (VersionedObject state : objects.values()) {
			ConfigurationObject object = state.object();
			if (object instanceof ApiKey key) {
				this.keysByHash.merge(key.keyHash(), key, this::newerKey);
			}
			else if (object instanceof Route route) {
				liveRoutes.add(route);
			}
			else if (object instanceof EngineNode engine) {
				liveEngines.add(engine);
			}
		}
		this.routes = sorted(liveRoutes,
				Comparator.comparingInt((Route route) -> -route.pathPrefix().length())
					.thenComparing(Route::pathPrefix)
					.thenComparing(Route::id));
		this.enginesByModel = sorted(liveEngines, Comparator.comparing(EngineNode::id)).stream()
			.collect(Collectors.groupingBy(EngineNode::model, TreeMap::new, Collectors.toUnmodifiableList()));
	}

	private static <T> List<T> sorted(List<T> list, Comparator<T> order) {
		return list.stream().sorted(order).toList();
	}

	/**
	 * Resolves two keys with the same hash. This occurs only while the ticket that moved
	 * the hash to another key has been merged and an earlier ticket has not; the key set
	 * by the later ticket takes precedence.
	 * @param first one key
	 * @param second the other key
	 * @return the key with the higher ticket number
	 */
	private ApiKey newerKey(ApiKey first, ApiKey second) {
		return (ticketNumberOf(first) >= ticketNumberOf(second)) ? first : second;
	}

	private long ticketNumberOf(ApiKey key) {
		VersionedObject state = this.objects.get(new ObjectKey(ObjectKind.KEY, key.id()));
		return (state != null) ? state.ticketNumber() : 0;
	}

	/**
	 * Creates a configuration from stored state.
	 * @param appliedNumber the number up to which all tickets are merged
	 * @param aheadNumbers the numbers of the merged tickets that follow a missing ticket
	 * @param objects the states of all objects, tombstones included
	 * @return the configuration
	 */
	public static Configuration of(long appliedNumber, Collection<Long> aheadNumbers,
			Map<ObjectKey, VersionedObject> objects) {
		return new Configuration(appliedNumber, new TreeSet<>(aheadNumbers), new HashMap<>(objects));
	}

	/**
	 * Returns this configuration with a ticket merged in.
	 * @param ticket the ticket
	 * @return the merged configuration, or this one if it already contains the ticket
	 */
	public Configuration apply(Ticket ticket) {
		return apply(List.of(ticket));
	}

	/**
	 * Returns this configuration with several tickets merged in. Their order has no
	 * effect. The object map is copied once for all tickets.
	 * @param tickets the tickets
	 * @return the merged configuration, or this one if it already contains all the
	 * tickets
	 */
	public Configuration apply(Collection<Ticket> tickets) {
		if (tickets.stream().allMatch((ticket) -> contains(ticket.number()))) {
			return this;
		}
		Map<ObjectKey, VersionedObject> merged = new HashMap<>(this.objects);
		NavigableSet<Long> contained = new TreeSet<>(this.ahead);
		for (Ticket ticket : tickets) {
			contained.add(ticket.number());
			for (TicketChange change : ticket.changes()) {
				merged.merge(change.key(), new VersionedObject(ticket.number(), change.object()),
						VersionedObject::newer);
			}
		}
		return new Configuration(this.appliedNumber, contained, merged);
	}

	/**
	 * Merges another configuration into this one.
	 * @param other the other configuration
	 * @return the merged configuration, or one of the two if it contains the other
	 */
	public Configuration merge(Configuration other) {
		if (containsAll(other)) {
			return this;
		}
		if (other.containsAll(this)) {
			return other;
		}
		Map<ObjectKey, VersionedObject> merged = new HashMap<>(this.objects);
		other.objects.forEach((key, value) -> merged.merge(key, value, VersionedObject::newer));
		NavigableSet<Long> contained = new TreeSet<>(this.ahead);
		contained.addAll(other.ahead);
		return new Configuration(Math.max(this.appliedNumber, other.appliedNumber), contained, merged);
	}

	private boolean containsAll(Configuration other) {
		return other.appliedNumber <= this.appliedNumber && other.ahead.stream().allMatch(this::contains);
	}

	/**
	 * Returns whether a ticket is merged in.
	 * @param number the number of the ticket
	 * @return whether it is merged, even if an earlier ticket is missing
	 */
	public boolean contains(long number) {
		return number <= this.appliedNumber || this.ahead.contains(number);
	}

	/**
	 * Returns the numbers of the merged tickets that follow a missing ticket.
	 * @return an unmodifiable set in ascending order
	 */
	public NavigableSet<Long> aheadNumbers() {
		return Collections.unmodifiableNavigableSet(this.ahead);
	}

	/**
	 * Returns the number up to which all tickets are merged.
	 * @return the number, 0 before the first ticket
	 */
	public long appliedNumber() {
		return this.appliedNumber;
	}

	/**
	 * Returns the states of all objects, tombstones included.
	 * @return an unmodifiable map
	 */
	public Map<ObjectKey, VersionedObject> objects() {
		return Collections.unmodifiableMap(this.objects);
	}

	/**
	 * Returns the objects of a type, without tombstones.
	 * @param type the record type
	 * @param <T> the record type
	 * @return the objects in no particular order
	 */
	public <T extends ConfigurationObject> Stream<T> objectsOfType(Class<T> type) {
		return this.objects.values().stream().map(VersionedObject::object).filter(type::isInstance).map(type::cast);
	}

	/**
	 * Finds an object that is not deleted.
	 * @param type the record type
	 * @param kind the kind
	 * @param id the identifier
	 * @param <T> the record type
	 * @return the object, if it exists
	 */
	public <T extends ConfigurationObject> Optional<T> find(Class<T> type, ObjectKind kind, String id) {
		VersionedObject state = this.objects.get(new ObjectKey(kind, id));
		return Optional.ofNullable(state).map(VersionedObject::object).map(type::cast);
	}

	/**
	 * Finds a team.
	 * @param id the identifier
	 * @return the team, if it exists
	 */
	public Optional<Team> team(String id) {
		return find(Team.class, ObjectKind.TEAM, id);
	}

	/**
	 * Finds the team that an API key belongs to.
	 * @param keyHash the SHA-256 hash of the key in lower-case hexadecimal
	 * @return the team, if the key and the team exist
	 */
	public Optional<Team> teamOfKey(String keyHash) {
		return Optional.ofNullable(this.keysByHash.get(keyHash)).flatMap((key) -> team(key.teamId()));
	}

	/**
	 * Finds the route with the longest matching prefix.
	 * @param method the HTTP method
	 * @param path the path
	 * @return the route, if one matches
	 */
	public Optional<Route> route(String method, String path) {
		return this.routes.stream()
			.filter((route) -> route.methods().contains(method) && matches(route.pathPrefix(), path))
			.findFirst();
	}

	private static boolean matches(String prefix, String path) {
		return path.startsWith(prefix)
				&& (prefix.endsWith("/") || path.length() == prefix.length() || path.charAt(prefix.length()) == '/');
	}

	/**
	 * Returns the engines of a model.
	 * @param model the name of the model
	 * @return the engines ordered by identifier, including those that are leaving
	 */
	public List<EngineNode> engines(String model) {
		return this.enginesByModel.getOrDefault(model, List.of());
	}

	/**
	 * Returns the models that have at least one engine.
	 * @return the model names in ascending order
	 */
	public Collection<String> models() {
		return Collections.unmodifiableCollection(this.enginesByModel.keySet());
	}

}
