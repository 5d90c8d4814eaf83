package org.skylarkstack.standin;

/**
 * Something that happened to a request in a stand-in engine.
 *
 * @param handle the engine's number for the request
 * @param type what happened
 * @param value the token offset of {@link Type#TOKEN} and {@link Type#LAST_TOKEN}, the
 * tokens found in the prefix cache for {@link Type#PREFILLED}, otherwise 0
 */
public record EngineEvent(long handle, Type type, int value) {

	/**
	 * What happened.
	 */
	public enum Type {

		/** The prefill result is ready for export. */
		PREFILLED,

		/** Slot and memory are reserved; the prefill result has to be fetched. */
		PULL,

		/** A token was produced. */
		TOKEN,

		/** The last token was produced and the memory is free. */
		LAST_TOKEN,

		/** The request was cancelled and its memory is free. */
		CANCELLED

	}

}
