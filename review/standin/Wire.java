package org.skylarkstack.platform;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;

/**
 * Texts in the platform's words, which the stand-ins send. They are files beside the
 * code, because only the module {@code platform} contains the platform's names.
 */
final class Wire {

	private static final String HEADERS_END = ".txt";

	private Wire() {
	}

	/**
	 * Returns a text.
	 * @param name the name of its file; the lines of a text with headers end as HTTP
	 * requires
	 * @param values the values that are filled in
	 */
	static String text(String name, Object... values) {
		try (InputStream input = Wire.class.getResourceAsStream("/wire/" + name)) {
			if (input == null) {
				throw new IllegalStateException("the text " + name + " is missing");
			}
			String text = new String(input.readAllBytes(), StandardCharsets.US_ASCII);
			String lines = name.endsWith(HEADERS_END) ? text.replace("\n", "\r\n") : text.strip();
			return lines.formatted(values);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static byte[] bytes(String name, Object... values) {
		return text(name, values).getBytes(StandardCharsets.US_ASCII);
	}

}
