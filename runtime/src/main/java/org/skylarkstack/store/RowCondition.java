package org.skylarkstack.store;

import org.jspecify.annotations.Nullable;

/**
 * Condition on the stored state of a row, checked by a write.
 *
 * @param attribute the name of the attribute to compare, or {@code null} if the row must
 * not exist
 * @param expected the value that the attribute must have; {@code null} if the row must
 * not exist
 */
public record RowCondition(@Nullable String attribute, @Nullable String expected) {

	/** The row must not exist. */
	public static final RowCondition ABSENT = new RowCondition(null, null);

	/**
	 * Creates a condition on an attribute.
	 * @param attribute the attribute name
	 * @param expected the value that it must have
	 * @return the condition
	 */
	public static RowCondition attributeEquals(String attribute, String expected) {
		return new RowCondition(attribute, expected);
	}

}
