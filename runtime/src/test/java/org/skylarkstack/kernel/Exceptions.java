package org.skylarkstack.kernel;

/**
 * Checks that an action throws the exception that a test expects.
 */
public final class Exceptions {

	private Exceptions() {
	}

	/**
	 * Runs an action that must throw an exception.
	 * @param type the expected type of the exception
	 * @param action the action
	 * @param <T> the expected type of the exception
	 * @return the exception that was thrown
	 */
	public static <T extends Throwable> T assertThrows(Class<T> type, Action action) {
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
	 * Action that may throw a checked exception.
	 */
	@FunctionalInterface
	public interface Action {

		/**
		 * Runs the action.
		 * @throws Exception the expected exception or any other
		 */
		void run() throws Exception;

	}

}
