package org.skylarkstack.store;

/**
 * Failure of the platform's store.
 */
public class StoreException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	private final WriteEffect effect;

	/**
	 * Creates a failure.
	 * @param effect whether a write may have taken effect
	 * @param message what failed
	 * @param cause the cause
	 */
	public StoreException(WriteEffect effect, String message, Throwable cause) {
		super(message, cause);
		this.effect = effect;
	}

	/**
	 * Returns whether a write may have taken effect.
	 * @return the effect
	 */
	public WriteEffect effect() {
		return this.effect;
	}

}
