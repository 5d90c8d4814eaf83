package org.skylarkstack.kernel;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.skylarkstack.response.RefusalStatus;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Tests of {@link ErrorType} and {@link Verdict}.
 */
class ErrorTypeTests {

	private static final Path API_PAGE = Path.of("..", "docs", "api.md");

	/**
	 * Guards against two errors with the same number, which callers could not
	 * distinguish.
	 */
	@Test
	void numbersAreUnique() {
		Set<Integer> numbers = new HashSet<>();
		for (ErrorType type : ErrorType.values()) {
			assertThat(numbers.add(type.code())).isTrue();
		}
	}

	/** Guards against an API page that lacks an error or states a wrong HTTP status. */
	@Test
	void apiPageListsEachErrorReportedToCallers() throws IOException {
		String page = Files.readString(API_PAGE);
		for (ErrorType type : ErrorType.values()) {
			boolean reportedToCallers = type.code() < 2000 || type == ErrorType.INTERNAL;
			String row = reportedToCallers ? "| %d | %s | %d |".formatted(type.code(), type.name(), type.httpStatus())
					: Integer.toString(type.code());
			if (type != ErrorType.SETTINGS_INVALID) {
				assertThat(page).contains(row);
			}
		}
	}

	/**
	 * Guards against an error that callers take for a refusal although the request may
	 * have run.
	 */
	@Test
	void statusOfARefusalMeansThatNothingRan() {
		for (ErrorType type : ErrorType.values()) {
			boolean refusal = RefusalStatus.matches(type.httpStatus());
			assertWithMessage(type.name()).that(refusal && type.verdict() != Verdict.NOT_RUN).isFalse();
			for (Verdict verdict : List.of(Verdict.MAY_HAVE_RUN, Verdict.RAN)) {
				RouterException failure = RouterException.of(type, Verdict.NOT_RUN, null, 1, 2, 3)
					.withEarlierVerdict(verdict);
				assertWithMessage(type.name()).that(failure.httpStatus()).isEqualTo(refusal ? 502 : type.httpStatus());
			}
			assertThat(RouterException.of(type, Verdict.NOT_RUN, null, 1, 2, 3).httpStatus())
				.isEqualTo(type.httpStatus());
		}
	}

	/** Guards against retrying a non-idempotent request that may have run. */
	@Test
	void onlyNotRunPermitsRetryOfNonIdempotentRequests() {
		assertThat(Verdict.NOT_RUN.permitsRetry(false)).isTrue();
		assertThat(Verdict.MAY_HAVE_RUN.permitsRetry(false)).isFalse();
		assertThat(Verdict.MAY_HAVE_RUN.permitsRetry(true)).isTrue();
		assertThat(Verdict.RAN.permitsRetry(true)).isFalse();
	}

}
