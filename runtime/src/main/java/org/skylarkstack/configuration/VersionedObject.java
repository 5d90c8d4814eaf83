package org.skylarkstack.configuration;

import org.jspecify.annotations.Nullable;

/**
 * State of a configuration object and the number of the ticket that set it.
 *
 * @param ticketNumber the number of the ticket
 * @param object the object, or {@code null} for a tombstone
 */
public record VersionedObject(long ticketNumber, @Nullable ConfigurationObject object) {

	/**
	 * Returns the newer of two states.
	 * @param first one state
	 * @param second the other state
	 * @return the state with the higher ticket number
	 */
	public static VersionedObject newer(VersionedObject first, VersionedObject second) {
		return (second.ticketNumber > first.ticketNumber) ? second : first;
	}

}
