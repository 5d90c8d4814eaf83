package org.skylarkstack.configurationcheck;

import java.util.List;
import java.util.function.Predicate;

/**
 * Rule on the fields of a single entry. A broken rule gives a warning.
 *
 * @param name the name of the rule
 * @param broken whether an entry breaks the rule
 * @param fields the fields that the finding shows
 * @param <T> the type of the entry
 */
record Rule<T>(String name, Predicate<T> broken, List<? extends Field<T>> fields) {

	Finding finding(Place place, T entry) {
		FieldValue[] values = this.fields.stream()
			.map((field) -> FieldValue.of(field, entry))
			.toArray(FieldValue[]::new);
		return Finding.warning(this.name, place, values);
	}

}
