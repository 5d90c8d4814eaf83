package org.skylarkstack.kernel;

import java.time.Duration;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.response.RefusalStatus;

/**
 * Unchecked exception with a numbered error type, and a verdict that states whether the
 * request that it ended may have run.
 */
public class RouterException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private static final int BAD_GATEWAY = 502;

	private final ErrorType type;

	private final Verdict verdict;

	private final @Nullable Duration retryAfter;

	/**
	 * Creates an exception with the default verdict of its type.
	 * @param type the error type
	 * @param arguments the values of the message template
	 */
	public RouterException(ErrorType type, Object... arguments) {
		this(type, type.verdict(), null, null, arguments);
	}

	private RouterException(ErrorType type, Verdict verdict, @Nullable Duration retryAfter, @Nullable Throwable cause,
			Object... arguments) {
		super(type.message(arguments), cause);
		this.type = type;
		this.verdict = verdict;
		this.retryAfter = retryAfter;
	}

	private RouterException(RouterException original, Verdict verdict, @Nullable Duration retryAfter) {
		super(original.getMessage(), original);
		this.type = original.type;
		this.verdict = verdict;
		this.retryAfter = retryAfter;
	}

	/**
	 * Creates an exception with a given verdict.
	 * @param type the error type
	 * @param verdict whether the request may have run
	 * @param cause the cause, or {@code null} if there is none
	 * @param arguments the values of the message template
	 * @return the exception
	 */
	public static RouterException of(ErrorType type, Verdict verdict, @Nullable Throwable cause, Object... arguments) {
		return new RouterException(type, verdict, null, cause, arguments);
	}

	/**
	 * Creates an exception that states when the caller may retry.
	 * @param type the error type
	 * @param retryAfter the time to wait before a retry
	 * @param arguments the values of the message template
	 * @return the exception
	 */
	public static RouterException retryAfter(ErrorType type, Duration retryAfter, Object... arguments) {
		return new RouterException(type, type.verdict(), retryAfter, null, arguments);
	}

	/**
	 * Returns this exception with the verdict about all attempts of the request together.
	 * @param earlier the verdict about the earlier attempts
	 * @return this exception, or a copy of it with the combined verdict
	 */
	public RouterException withEarlierVerdict(Verdict earlier) {
		Verdict combined = this.verdict.combine(earlier);
		return (combined == this.verdict) ? this : new RouterException(this, combined, this.retryAfter);
	}

	/**
	 * Returns this exception with a time to wait before a retry, unless it already has
	 * one.
	 * @param wait the time to wait
	 * @return this exception, or a copy of it with the given time
	 */
	public RouterException withRetryAfter(Duration wait) {
		return (this.retryAfter != null) ? this : new RouterException(this, this.verdict, wait);
	}

	/**
	 * Returns the error type.
	 * @return the error type
	 */
	public ErrorType type() {
		return this.type;
	}

	/**
	 * Returns whether the request may have run.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

	/**
	 * Returns the HTTP status of responses with this error. Callers take some statuses
	 * for the statement that the request has not run; a request that may have run gets
	 * 502 in their place.
	 * @return the HTTP status code
	 */
	public int httpStatus() {
		int status = this.type.httpStatus();
		return (this.verdict != Verdict.NOT_RUN && RefusalStatus.matches(status)) ? BAD_GATEWAY : status;
	}

	/**
	 * Returns the time to wait before a retry.
	 * @return the time, or {@code null} if waiting does not help
	 */
	public @Nullable Duration retryAfter() {
		return this.retryAfter;
	}

}
