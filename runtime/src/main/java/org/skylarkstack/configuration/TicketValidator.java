package org.skylarkstack.configuration;

import java.net.URI;
import java.net.URISyntaxException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

/**
 * Validates a ticket against the configuration that precedes it and lists every problem.
 * References are checked in both directions: each object that a changed object refers to
 * must exist after the ticket, and no remaining object may refer to a deleted one.
 */
final class TicketValidator {

	/**
	 * Maximum size of a ticket body in bytes. An item of the table service holds at most
	 * 400 KB, including attribute names and keys.
	 */
	static final int MAX_BODY_BYTES = 350 * 1024;

	private static final int SHOWN_HASH_DIGITS = 8;

	List<String> problems(TicketDraft draft, Configuration before, String body) {
		List<String> problems = new ArrayList<>(draft.problems());
		int bytes = body.getBytes(StandardCharsets.UTF_8).length;
		if (bytes > MAX_BODY_BYTES) {
			problems.add("the body has %d bytes; at most %d are allowed".formatted(bytes, MAX_BODY_BYTES));
		}
		Set<ObjectKey> seen = new HashSet<>(draft.unreadable().keySet());
		draft.changes()
			.stream()
			.map(TicketChange::key)
			.filter((key) -> !seen.add(key))
			.forEach((key) -> problems.add("%s is changed twice".formatted(name(key))));
		Set<String> violations = new TreeSet<>();
		ResultingState after = new ResultingState(draft, before);
		for (TicketChange change : draft.changes()) {
			ConfigurationObject object = change.object();
			if (object == null) {
				checkDeletion(change.key(), before, violations);
			}
			else {
				checkObject(object, after, violations);
			}
		}
		draft.unreadable()
			.forEach((referrer, references) -> references
				.forEach((key) -> after.require(key.kind(), key.id(), name(referrer), violations)));
		checkRemaining(after, violations);
		problems.addAll(violations);
		return problems;
	}

	private void checkDeletion(ObjectKey key, Configuration before, Set<String> violations) {
		if (before.find(ConfigurationObject.class, key.kind(), key.id()).isEmpty()) {
			violations.add("%s does not exist and cannot be deleted".formatted(name(key)));
		}
	}

	private void checkObject(ConfigurationObject object, ResultingState after, Set<String> violations) {
		String name = name(new ObjectKey(object.objectKind(), object.id()));
		if (object instanceof ApiKey key) {
			after.require(ObjectKind.TEAM, key.teamId(), name, violations);
		}
		else if (object instanceof Route route) {
			after.require(ObjectKind.SERVICE, route.serviceId(), name, violations);
		}
		else if (object instanceof EngineNode engine) {
			checkUrl(engine.url(), name, violations);
		}
		else if (object instanceof BackendService service) {
			Set<String> urls = new HashSet<>();
			for (BackendServer server : service.servers()) {
				checkUrl(server.url(), name, violations);
				if (!urls.add(server.url())) {
					violations.add("%s names %s twice".formatted(name, server.url()));
				}
			}
		}
	}

	private static void checkUrl(String url, String name, Set<String> violations) {
		try {
			URI uri = new URI(url);
			boolean http = "http".equals(uri.getScheme()) || "https".equals(uri.getScheme());
			if (!http || uri.getHost() == null || url.endsWith("/") || uri.getRawQuery() != null
					|| uri.getRawFragment() != null || uri.getRawUserInfo() != null) {
				violations.add("%s has URL %s, which is not an http or https URL without user, query, fragment and "
					.formatted(name, url) + "trailing slash");
			}
		}
		catch (URISyntaxException ex) {
			violations.add("%s has URL %s, which is malformed".formatted(name, url));
		}
	}

	private void checkRemaining(ResultingState after, Set<String> violations) {
		Map<String, String> keyByHash = new HashMap<>();
		Map<String, String> routeByPath = new HashMap<>();
		for (ConfigurationObject object : after.objects()) {
			String name = name(new ObjectKey(object.objectKind(), object.id()));
			if (object instanceof ApiKey key) {
				after.rejectIfDeleted(ObjectKind.TEAM, key.teamId(), name, violations);
				String other = keyByHash.putIfAbsent(key.keyHash(), name);
				if (other != null) {
					violations.add("%s and %s have the same key hash %s...".formatted(first(name, other),
							second(name, other), key.keyHash().substring(0, SHOWN_HASH_DIGITS)));
				}
			}
			else if (object instanceof Route route) {
				after.rejectIfDeleted(ObjectKind.SERVICE, route.serviceId(), name, violations);
				for (String method : route.methods()) {
					String other = routeByPath.putIfAbsent(method + ' ' + route.pathPrefix(), name);
					if (other != null) {
						violations.add("%s and %s both match %s %s".formatted(first(name, other), second(name, other),
								method, route.pathPrefix()));
					}
				}
			}
		}
	}

	private static String first(String one, String other) {
		return (one.compareTo(other) <= 0) ? one : other;
	}

	private static String second(String one, String other) {
		return (one.compareTo(other) <= 0) ? other : one;
	}

	private static String name(ObjectKey key) {
		return key.kind().name().toLowerCase(java.util.Locale.ROOT) + ' ' + key.id();
	}

	/**
	 * Objects that exist after the ticket has been applied.
	 */
	private static final class ResultingState {

		private final Map<ObjectKey, ConfigurationObject> objects = new HashMap<>();

		private final Set<ObjectKey> deleted = new HashSet<>();

		private final Set<ObjectKey> unreadable;

		ResultingState(TicketDraft draft, Configuration before) {
			this.unreadable = draft.unreadable().keySet();
			before.objects().forEach((key, state) -> {
				ConfigurationObject object = state.object();
				if (object != null) {
					this.objects.put(key, object);
				}
			});
			for (TicketChange change : draft.changes()) {
				ConfigurationObject object = change.object();
				if (object != null) {
					this.objects.put(change.key(), object);
					this.deleted.remove(change.key());
				}
				else if (this.objects.remove(change.key()) != null) {
					this.deleted.add(change.key());
				}
			}
		}

		Iterable<ConfigurationObject> objects() {
			return this.objects.values();
		}

		void require(ObjectKind kind, String id, String referrer, Set<String> violations) {
			ObjectKey key = new ObjectKey(kind, id);
			if (!this.objects.containsKey(key) && !this.unreadable.contains(key) && !this.deleted.contains(key)) {
				violations.add("%s names %s, which does not exist".formatted(referrer, name(key)));
			}
		}

		void rejectIfDeleted(ObjectKind kind, String id, String referrer, Set<String> violations) {
			ObjectKey key = new ObjectKey(kind, id);
			if (this.deleted.contains(key)) {
				violations.add("%s names %s, which the ticket deletes".formatted(referrer, name(key)));
			}
		}

	}

}
