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
 * Immutable merged configuration.
 *
 * <p>
 * Each object carries the number of the ticket that last set it, and a merge takes the
 * higher number for each object. A merge is therefore commutative, associative and
 * idempotent, and a lower number never undoes a higher one. Deleted objects stay as
 * tombstones.
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
	 * Two keys have the same hash only while the ticket that moved the hash is here and
	 * an earlier one is not; the later ticket decides.
	 * @param first one key
	 * @param second the other key
	 * @return the key that the later ticket set
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
	 * @param appliedNumber the number up to which all tickets are contained
	 * @param aheadNumbers the numbers of contained tickets that follow a missing one
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
	 * @return the merged configuration, this one if it contains the ticket
	 */
	public Configuration apply(Ticket ticket) {
		return apply(List.of(ticket));
	}

	/**
	 * Returns this configuration with tickets merged in, in any order. The objects are
	 * copied once for all tickets.
	 * @param tickets the tickets
	 * @return the merged configuration, this one if it contains all the tickets
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
	 * Returns the union of two configurations.
	 * @param other the other configuration
	 * @return the merged configuration
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
	 * @return whether it is contained, in order or ahead of a missing one
	 */
	public boolean contains(long number) {
		return number <= this.appliedNumber || this.ahead.contains(number);
	}

	/**
	 * Returns the numbers of contained tickets that follow a missing one.
	 * @return the numbers in order
	 */
	public NavigableSet<Long> aheadNumbers() {
		return Collections.unmodifiableNavigableSet(this.ahead);
	}

	/**
	 * Returns the number up to which all tickets are contained.
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
	 * Returns the live objects of a type.
	 * @param type the record type
	 * @param <T> the record type
	 * @return the objects in no particular order
	 */
	public <T extends ConfigurationObject> Stream<T> live(Class<T> type) {
		return this.objects.values().stream().map(VersionedObject::object).filter(type::isInstance).map(type::cast);
	}

	/**
	 * Finds a live object.
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
	 * Finds the team that a key speaks for.
	 * @param keyHash the hash of the key
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
	 * @param model the model
	 * @return the engines ordered by identifier, leaving ones included
	 */
	public List<EngineNode> engines(String model) {
		return this.enginesByModel.getOrDefault(model, List.of());
	}

	/**
	 * Returns the configured models.
	 * @return the model names
	 */
	public Collection<String> models() {
		return Collections.unmodifiableCollection(this.enginesByModel.keySet());
	}

}
