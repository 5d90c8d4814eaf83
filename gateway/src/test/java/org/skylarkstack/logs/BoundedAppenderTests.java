package org.skylarkstack.logs;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.LoggingEvent;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.slf4j.event.KeyValuePair;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BoundedAppender}.
 */
class BoundedAppenderTests {

	/**
	 * Guards against the loss of the first line of a batch, which the writer has taken
	 * from the queue when the process ends.
	 */
	@Test
	void noLineIsLostWhenTheAppenderStops() throws InterruptedException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		BoundedAppender appender = new BoundedAppender(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		appender.start();
		appender.append(event("first"));
		Thread.sleep(30);
		appender.append(event("second"));
		appender.stop();
		assertThat(bytes.toString(StandardCharsets.UTF_8)).matches("(?s).*server=first\n.*server=second\n");
	}

	private static LoggingEvent event(String server) {
		LoggingEvent event = new LoggingEvent("", new LoggerContext().getLogger("test"), Level.INFO, "", null,
				new Object[0]);
		event.addKeyValuePair(new KeyValuePair("server", server));
		return event;
	}

	/**
	 * Guards against an identifier of another process that adds a line or a field to the
	 * log.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "a\nevent=x", "a\revent=x", "a\u0085event=x", "a\u2028event=x", "a\" event=\"x",
			"a\u001b[2J", "a event=x" })
	void aValueStaysWithinItsField(String value) {
		assertThat(logged(value)).matches("time=\\S+ level=INFO server=\"[^\\p{Cc}\\p{Zl}\\p{Zp}\"]*\"\n");
	}

	private static String logged(String value) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		BoundedAppender appender = new BoundedAppender(new PrintStream(bytes, true, StandardCharsets.UTF_8));
		appender.append(event(value));
		appender.stop();
		return bytes.toString(StandardCharsets.UTF_8);
	}

	/** Guards against two names that are the same in the log. */
	@Test
	void differentValuesAreLoggedDifferently() {
		List<String> values = List.of("a b", "a\tb", "a\nb", "a\u2028b", "a\"b ", "a'b ", "a\\u{22}b ", "a\\\"b ",
				"\u017di\u017eka", "\u0160i\u0161ka", "?i?ka", "a", "\"a\"", "a\ud800", "a\udc00", "a?", "");
		Set<String> fields = new HashSet<>();
		for (String value : values) {
			String line = logged(value);
			assertThat(fields.add(line.substring(line.indexOf("server=")))).isTrue();
		}
	}

}
