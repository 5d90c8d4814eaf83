package org.skylarkstack.kernel;

/**
 * Catches the exception that a test expects.
 */
public final class Thrown {

	private Thrown() {
	}

	/**
	 * Runs an action that has to throw.
	 * @param type the expected type
	 * @param action the action
	 * @param <T> the expected type
	 * @return the exception
	 */
	public static <T extends Throwable> T by(Class<T> type, Action action) {
		try {
			action.run();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("expected " + type.getSimpleName(), ex);
		}
		throw new AssertionError("expected " + type.getSimpleName() + ", but nothing was thrown");
	}

	/**
	 * Action that may throw.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Runs the action.
		 * @throws Exception the expected or another exception
		 */
		void run() throws Exception;

	}

}
