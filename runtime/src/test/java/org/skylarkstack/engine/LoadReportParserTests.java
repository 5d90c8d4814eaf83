package org.skylarkstack.engine;

import java.io.IOException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.kernel.Exceptions;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link LoadReportParser} with reports of faulty engines.
 */
class LoadReportParserTests {

	/**
	 * Guards against an exception that ends the poll of an engine or the request that
	 * asks for its load, and against a gauge that is truncated.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "x", "NaN", "-1", "1e999999999", "4294967297", "" })
	void aGaugeThatCannotBeMeantMakesTheReportUnreadable(String value) {
		Exceptions.assertThrows(IOException.class,
				() -> LoadReportParser.parse("engine_requests_running 1\nengine_requests_waiting " + value));
	}

	/** Guards against a report that is refused for a line that is not needed. */
	@Test
	void otherLinesAreIgnored() throws IOException {
		assertThat(LoadReportParser.parse("# HELP x y\n\nfuture{a=\"b c\"} +Inf\nother x\n nothing\n"
				+ "engine_requests_running{model=\"m\"} 3.0\nengine_kv_pieces_used 4\n"))
			.isEqualTo(new EngineLoad(3, 0, 4, 0));
	}

}
