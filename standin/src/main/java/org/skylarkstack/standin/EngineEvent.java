package org.skylarkstack.standin;

/**
 * Progress of a request in a stand-in engine.
 *
 * @param handle the handle of the request in the engine
 * @param type the type of the event
 * @param value the token offset of {@link Type#TOKEN} and {@link Type#LAST_TOKEN}, the
 * tokens found in the prefix cache for {@link Type#PREFILLED}, otherwise 0
 */
public record EngineEvent(long handle, Type type, int value) {

	/**
	 * Type of an event.
	 */
	public enum Type {

		/** The prefill result is ready for export. */
		PREFILLED,

		/** Slot and memory are reserved; the prefill result must be fetched next. */
		PULL,

		/** A token was produced. */
		TOKEN,

		/** The last token was produced and the memory was released. */
		LAST_TOKEN,

		/** The request was cancelled and its memory was released. */
		CANCELLED

	}

}
