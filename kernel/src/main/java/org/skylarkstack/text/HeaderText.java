package org.skylarkstack.text;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

import org.jspecify.annotations.Nullable;

/**
 * Text in the values of HTTP headers. HTTP libraries hold a value with one character for
 * each byte (ISO 8859-1) and send any other character as a question mark. Text is
 * therefore sent as its bytes in UTF-8, and received values are read as UTF-8.
 */
public final class HeaderText {

	private static final int FIRST_NON_ASCII = 0x80;

	private HeaderText() {
	}

	/**
	 * Returns the form in which HTTP libraries send a text as UTF-8.
	 * @param text the text
	 * @return the bytes of the text in UTF-8, one character for each
	 */
	public static String encode(String text) {
		return new String(text.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
	}

	/**
	 * Reads a received value as UTF-8.
	 * @param value the value, one character for each byte
	 * @return the text, or {@code null} if the bytes are not valid UTF-8
	 */
	public static @Nullable String decodeUtf8(String value) {
		if (value.chars().allMatch((character) -> character < FIRST_NON_ASCII)) {
			return value;
		}
		try {
			return StandardCharsets.UTF_8.newDecoder()
				.decode(ByteBuffer.wrap(value.getBytes(StandardCharsets.ISO_8859_1)))
				.toString();
		}
		catch (CharacterCodingException ex) {
			return null;
		}
	}

	/**
	 * Reads a received value.
	 * @param value the value, one character for each byte
	 * @return the text in UTF-8, or the value itself if its bytes are not valid UTF-8
	 */
	public static String decode(String value) {
		String text = decodeUtf8(value);
		return (text != null) ? text : value;
	}

}
