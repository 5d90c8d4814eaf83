package org.skylarkstack.text;

/**
 * Lower case of names that are compared without regard to case in ASCII only, such as
 * host names. Other letters stay as they are: some of them share their lower case with
 * another letter.
 */
public final class AsciiCase {

	private static final int LOWER_CASE_OFFSET = 'a' - 'A';

	private AsciiCase() {
	}

	/**
	 * Converts the letters from A to Z to lower case.
	 * @param text the text
	 * @return the converted text
	 */
	public static String lower(String text) {
		StringBuilder lower = new StringBuilder(text);
		for (int index = 0; index < lower.length(); index++) {
			char character = lower.charAt(index);
			if (character >= 'A' && character <= 'Z') {
				lower.setCharAt(index, (char) (character + LOWER_CASE_OFFSET));
			}
		}
		return lower.toString();
	}

}
