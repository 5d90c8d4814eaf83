package org.skylarkstack.store;

/**
 * Thrown when an operation of the platform's table service or object store fails.
 */
public class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final WriteEffect effect;

	/**
	 * Creates an exception.
	 * @param effect whether a write may have taken effect
	 * @param message the operation that failed
	 * @param cause the client's exception
	 */
	public StoreException(WriteEffect effect, String message, Throwable cause) {
		super(message, cause);
		this.effect = effect;
	}

	/**
	 * Returns whether a write may have taken effect.
	 * @return the effect; {@link WriteEffect#NOT_APPLIED} for a failed read
	 */
	public WriteEffect effect() {
		return this.effect;
	}

}
