package org.skylarkstack.engine;

/**
 * Checks that the events of a stream belong to its call, by the {@code id} of each chunk:
 * engines form it from a prefix and the id of the attempt. The caller gets the id without
 * the number of the attempt, so that it stays the same when a stream is resumed.
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
