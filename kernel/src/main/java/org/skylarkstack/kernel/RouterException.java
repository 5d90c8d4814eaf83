package org.skylarkstack.kernel;

import java.time.Duration;

import org.jspecify.annotations.Nullable;

/**
 * Unchecked error with a numbered type and the verdict about the request it ended.
 */
public class RouterException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final ErrorType type;

	private final Verdict verdict;

	private final @Nullable Duration retryAfter;

	/**
	 * Creates an error with the default verdict of its type.
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
	 * Creates an error with a verdict of its own.
	 * @param type the error type
	 * @param verdict whether the request may have run
	 * @param cause the cause, if any
	 * @param arguments the values of the message template
	 * @return the error
	 */
	public static RouterException of(ErrorType type, Verdict verdict, @Nullable Throwable cause, Object... arguments) {
		return new RouterException(type, verdict, null, cause, arguments);
	}

	/**
	 * Creates an error that tells the caller when to try again.
	 * @param type the error type
	 * @param retryAfter the time to wait
	 * @param arguments the values of the message template
	 * @return the error
	 */
	public static RouterException retryAfter(ErrorType type, Duration retryAfter, Object... arguments) {
		return new RouterException(type, type.verdict(), retryAfter, null, arguments);
	}

	/**
	 * Returns this error with what all attempts of the request together allow to say.
	 * @param earlier the verdict about the earlier attempts
	 * @return an error with the stronger of both verdicts
	 */
	public RouterException after(Verdict earlier) {
		Verdict stronger = this.verdict.stronger(earlier);
		return (stronger == this.verdict) ? this : new RouterException(this, stronger, this.retryAfter);
	}

	/**
	 * Returns this error with a time to wait, unless it already names one.
	 * @param wait the time to wait before another try
	 * @return the error
	 */
	public RouterException withRetryAfter(Duration wait) {
		return (this.retryAfter != null) ? this : new RouterException(this, this.verdict, wait);
	}

	/**
	 * Returns the error type.
	 * @return the type
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
	 * Returns the time to wait before another try, if waiting helps.
	 * @return the time, or {@code null}
	 */
	public @Nullable Duration retryAfter() {
		return this.retryAfter;
	}

}
