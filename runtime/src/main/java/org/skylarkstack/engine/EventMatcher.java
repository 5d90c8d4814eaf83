package org.skylarkstack.engine;

/**
 * Matches the events of a stream with the call by the {@code id} of each chunk, which
 * engines form from a prefix and the request id. The caller sees the id without the
 * attempt, so that it stays the same when a stream is resumed.
 */
final class EventMatcher {

	private static final String ERROR = "{\"error\"";

	private final String suffix;

	private final String suffixWithoutAttempt;

	EventMatcher(String attemptId) {
		this.suffix = "-" + attemptId + "\"";
		int attempt = attemptId.lastIndexOf('.');
		this.suffixWithoutAttempt = "-" + ((attempt > 0) ? attemptId.substring(0, attempt) : attemptId) + "\"";
	}

	static boolean isError(String data) {
		return data.startsWith(ERROR);
	}

	boolean matches(String data) {
		return data.contains(this.suffix);
	}

	String removeAttempt(String data) {
		int at = data.indexOf(this.suffix);
		return data.substring(0, at) + this.suffixWithoutAttempt + data.substring(at + this.suffix.length());
	}

}
