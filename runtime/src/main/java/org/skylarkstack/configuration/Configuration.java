package org.skylarkstack.configuration;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
	public static final Configuration EMPTY = new Configuration(0, Map.of());

	private final long appliedNumber;

	private final Map<ObjectKey, VersionedObject> objects;

	private final Map<String, ApiKey> keysByHash;

	private final List<Route> routes;

	private final Map<String, List<EngineNode>> enginesByModel;

	private Configuration(long appliedNumber, Map<ObjectKey, VersionedObject> objects) {
		this.appliedNumber = appliedNumber;
		this.objects = objects;
		this.keysByHash = new HashMap<>();
		live(ApiKey.class).forEach((key) -> this.keysByHash.put(key.keyHash(), key));
		this.routes = live(Route.class)
			.sorted(Comparator.comparingInt((Route route) -> -route.pathPrefix().length())
				.thenComparing(Route::pathPrefix)
				.thenComparing(Route::id))
			.toList();
		this.enginesByModel = new HashMap<>();
		live(EngineNode.class).sorted(Comparator.comparing(EngineNode::id))
			.forEach((engine) -> this.enginesByModel
				.computeIfAbsent(engine.model(), (model) -> new java.util.ArrayList<>())
				.add(engine));
	}

	/**
	 * Creates a configuration from stored state.
	 * @param appliedNumber the number up to which all tickets are contained
	 * @param objects the states of all objects, tombstones included
	 * @return the configuration
	 */
	public static Configuration of(long appliedNumber, Map<ObjectKey, VersionedObject> objects) {
		return new Configuration(appliedNumber, Map.copyOf(objects));
	}

	/**
	 * Returns this configuration with a ticket merged in.
	 * @param ticket the ticket
	 * @return the merged configuration
	 */
	public Configuration apply(Ticket ticket) {
		Map<ObjectKey, VersionedObject> merged = new HashMap<>(this.objects);
		for (TicketChange change : ticket.changes()) {
			merged.merge(change.key(), new VersionedObject(ticket.number(), change.object()), VersionedObject::newer);
		}
		long applied = (ticket.number() == this.appliedNumber + 1) ? ticket.number() : this.appliedNumber;
		return new Configuration(applied, merged);
	}

	/**
	 * Returns the union of two configurations.
	 * @param other the other configuration
	 * @return the merged configuration
	 */
	public Configuration merge(Configuration other) {
		Map<ObjectKey, VersionedObject> merged = new HashMap<>(this.objects);
		other.objects.forEach((key, value) -> merged.merge(key, value, VersionedObject::newer));
		return new Configuration(Math.max(this.appliedNumber, other.appliedNumber), merged);
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
		return java.util.Collections.unmodifiableMap(this.objects);
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
		return List.copyOf(this.enginesByModel.getOrDefault(model, List.of()));
	}

	/**
	 * Returns the configured models.
	 * @return the model names
	 */
	public Collection<String> models() {
		return this.enginesByModel.keySet().stream().sorted().toList();
	}

}
