package org.skylarkstack.standin;

/**
 * Runs actions that are expected to fail and returns their exceptions.
 */
final class Thrown {

	private Thrown() {
	}

	static <T extends Throwable> T by(Class<T> type, Runnable action) {
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
