package org.skylarkstack.configurationcheck;

/**
 * Field of an entry with the text that a finding shows for it.
 *
 * @param field the field
 * @param text the value, or the old and the new value
 */
public record FieldValue(Field<?> field, String text) {

	static <T> FieldValue of(Field<T> field, T entry) {
		return new FieldValue(field, String.valueOf(field.value(entry)));
	}

}
