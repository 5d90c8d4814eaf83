package org.skylarkstack.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests for {@link ErrorType}.
 */
class ErrorTypeTests {

	private static final Path API_PAGE = Path.of("..", "docs", "api.md");

	/**
	 * Guards against two errors that share a number, which callers could not tell apart.
	 */
	@Test
	void numbersAreUnique() {
		Set<Integer> numbers = new HashSet<>();
		for (ErrorType type : ErrorType.values()) {
			assertThat(numbers.add(type.code())).isTrue();
		}
	}

	/** Guards against an API page that misses an error or states another status. */
	@Test
	void apiPageListsEachErrorOfCallers() throws IOException {
		String page = Files.readString(API_PAGE);
		for (ErrorType type : ErrorType.values()) {
			boolean ofCallers = type.code() < 2000 || type == ErrorType.INTERNAL;
			String row = ofCallers ? "| %d | %s | %d |".formatted(type.code(), type.name(), type.httpStatus())
					: Integer.toString(type.code());
			if (type != ErrorType.SETTINGS_INVALID) {
				assertThat(page).contains(row);
			}
		}
	}

	/** Guards against a retry of a non-idempotent request that may have run. */
	@Test
	void onlyNotRunPermitsRetryOfNonIdempotentRequests() {
		assertThat(Verdict.NOT_RUN.permitsRetry(false)).isTrue();
		assertThat(Verdict.MAY_HAVE_RUN.permitsRetry(false)).isFalse();
		assertThat(Verdict.MAY_HAVE_RUN.permitsRetry(true)).isTrue();
		assertThat(Verdict.RAN.permitsRetry(true)).isFalse();
	}

}
