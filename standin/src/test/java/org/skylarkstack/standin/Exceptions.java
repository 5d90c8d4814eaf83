package org.skylarkstack.standin;

/**
 * Runs an action and returns the exception that it is expected to throw.
 */
final class Exceptions {

	private Exceptions() {
	}

	static <T extends Throwable> T assertThrows(Class<T> type, Runnable action) {
		try {
			action.run();
		}
		catch (Throwable ex) {
			if (type.isInstance(ex)) {
				return type.cast(ex);
			}
			throw new AssertionError("expected " + type, ex);
		}
		throw new AssertionError("nothing was thrown, expected " + type);
	}

}
