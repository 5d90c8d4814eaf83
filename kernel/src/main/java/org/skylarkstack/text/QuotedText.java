package org.skylarkstack.text;

/**
 * Quoted form of a text for logs and messages. It stays on one line and contains no
 * quotation mark, and different texts have different forms.
 */
public final class QuotedText {

	private QuotedText() {
	}

	/**
	 * Quotes a text.
	 * @param text the text
	 * @return the text in quotation marks; characters that could end the text or the line
	 * are escaped with a backslash
	 */
	public static String of(String text) {
		StringBuilder quoted = new StringBuilder(text.length() + 2).append('"');
		text.codePoints().forEach((character) -> append(quoted, character));
		return quoted.append('"').toString();
	}

	private static void append(StringBuilder quoted, int character) {
		if (character == '\\') {
			quoted.append("\\\\");
		}
		else if (isEscaped(character)) {
			quoted.append("\\u{%x}".formatted(character));
		}
		else {
			quoted.appendCodePoint(character);
		}
	}

	private static boolean isEscaped(int character) {
		return character == '"' || switch (Character.getType(character)) {
			case Character.CONTROL, Character.LINE_SEPARATOR, Character.PARAGRAPH_SEPARATOR, Character.SURROGATE ->
				true;
			default -> false;
		};
	}

}
