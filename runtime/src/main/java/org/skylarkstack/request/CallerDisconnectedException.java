package org.skylarkstack.request;

/**
 * Thrown when the caller has closed its connection.
 */
public class CallerDisconnectedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param cause the failure of the write to the caller
	 */
	public CallerDisconnectedException(Throwable cause) {
		super("the caller closed its connection", cause);
	}

}
