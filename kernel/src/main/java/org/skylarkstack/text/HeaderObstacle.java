package org.skylarkstack.text;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/**
 * Reasons why a text cannot be the value of an HTTP header: a receiver would get another
 * text, or none.
 */
public enum HeaderObstacle {

	/** The text has no visible character. */
	BLANK("is blank", String::isBlank),

	/** The text contains a control character, which is not allowed in headers. */
	CONTROL_CHARACTER("contains a control character", (text) -> text.chars().anyMatch(Character::isISOControl)),

	/** The text contains half of a surrogate pair, for which UTF-8 has no form. */
	LONE_SURROGATE("contains a surrogate without its pair",
			(text) -> text.codePoints().anyMatch((character) -> Character.getType(character) == Character.SURROGATE)),

	/** The text begins or ends with a space, which receivers remove. */
	OUTER_SPACE("begins or ends with a space", (text) -> text.startsWith(" ") || text.endsWith(" ")),

	/** The text does not fit into a header beside others. */
	TOO_LONG("is longer than 1024 bytes", (text) -> text.getBytes(StandardCharsets.UTF_8).length > 1024);

	private final String description;

	private final Predicate<String> applies;

	HeaderObstacle(String description, Predicate<String> applies) {
		this.description = description;
		this.applies = applies;
	}

	/**
	 * Finds the obstacle of a text.
	 * @param text the text
	 * @return the first obstacle, or {@code null} if the text can be sent
	 */
	public static @Nullable HeaderObstacle of(String text) {
		for (HeaderObstacle obstacle : values()) {
			if (obstacle.applies.test(text)) {
				return obstacle;
			}
		}
		return null;
	}

	/**
	 * Returns what is wrong with the text.
	 * @return the predicate of a sentence about the text
	 */
	public String description() {
		return this.description;
	}

	/**
	 * Returns the name of this obstacle in findings.
	 * @return the name in lower case, with hyphens
	 */
	public String label() {
		return name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

}
