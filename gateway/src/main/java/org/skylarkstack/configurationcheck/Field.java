package org.skylarkstack.configurationcheck;

/**
 * Field of an entry of a configuration.
 *
 * @param <T> the type of the entry
 */
public interface Field<T> {

	/**
	 * Returns the value of the field for display. Keys are not displayed.
	 * @param entry the entry
	 * @return the value
	 */
	Object value(T entry);

	/**
	 * Returns whether the field has different values in two versions of an entry.
	 * @param old the old version
	 * @param current the new version
	 * @return whether the values differ
	 */
	default boolean differs(T old, T current) {
		return !value(old).equals(value(current));
	}

	/**
	 * Describes the difference between two versions of an entry.
	 * @param old the old version
	 * @param current the new version
	 * @return the old and the new value
	 */
	default String change(T old, T current) {
		return "%s -> %s".formatted(value(old), value(current));
	}

}
