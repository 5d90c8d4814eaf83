package org.skylarkstack.configurationcheck;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Result of a rule at one place of a configuration.
 *
 * @param severity the severity
 * @param rule the name of the rule, which does not change between versions of the program
 * @param place the place
 * @param other the entry that conflicts with the one at the place, or {@code null}
 * @param values the fields that the finding is about
 */
public record Finding(Severity severity, String rule, Place place, @Nullable Place other, List<FieldValue> values) {

	/**
	 * Creates a finding with a copy of its values.
	 */
	public Finding {
		values = List.copyOf(values);
	}

	static Finding error(String rule, Place place, @Nullable Place other, FieldValue... values) {
		return new Finding(Severity.ERROR, rule, place, other, List.of(values));
	}

	static Finding warning(String rule, Place place, FieldValue... values) {
		return new Finding(Severity.WARNING, rule, place, null, List.of(values));
	}

	static Finding change(String rule, Place place, FieldValue... values) {
		return new Finding(Severity.CHANGE, rule, place, null, List.of(values));
	}

}
