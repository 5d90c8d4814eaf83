package org.skylarkstack.configuration;

import org.jspecify.annotations.Nullable;

/**
 * Complete new state of one object in a ticket.
 *
 * @param key the key of the object
 * @param object the new state, or {@code null} to delete the object
 */
public record TicketChange(ObjectKey key, @Nullable ConfigurationObject object) {

	/** Checks that the key matches the object. */
	public TicketChange {
		if (object != null && !key.equals(new ObjectKey(object.objectKind(), object.id()))) {
			throw new IllegalArgumentException("key %s does not name the object".formatted(key));
		}
	}

	/**
	 * Creates a change that sets an object.
	 * @param object the new state
	 * @return the change
	 */
	public static TicketChange set(ConfigurationObject object) {
		return new TicketChange(new ObjectKey(object.objectKind(), object.id()), object);
	}

	/**
	 * Creates a change that deletes an object.
	 * @param kind the kind of the object
	 * @param id the identifier of the object
	 * @return the change
	 */
	public static TicketChange delete(ObjectKind kind, String id) {
		return new TicketChange(new ObjectKey(kind, id), null);
	}

}
