package org.skylarkstack.request;

/**
 * The caller closed its connection.
 */
public class CallerGoneException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param cause the failed write
	 */
	public CallerGoneException(Throwable cause) {
		super("the caller closed its connection", cause);
	}

}
