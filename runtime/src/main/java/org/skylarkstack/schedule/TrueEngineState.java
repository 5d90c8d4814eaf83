package org.skylarkstack.schedule;

/**
 * True present state of the engines. Only experiments can provide it.
 */
public interface TrueEngineState {

	/**
	 * Returns when a prefill engine finishes the work that it has.
	 * @param engineId the engine
	 * @return the time in nanoseconds
	 */
	long prefillFreeNanos(String engineId);

	/**
	 * Returns when a transfer between two engines could start.
	 * @param prefillEngineId the sending engine
	 * @param decodeEngineId the receiving engine
	 * @return the time in nanoseconds
	 */
	long linkFreeNanos(String prefillEngineId, String decodeEngineId);

	/**
	 * Returns the decode slots that no request uses or is on its way to.
	 * @param engineId the engine
	 * @return the free slots
	 */
	int freeSlots(String engineId);

	/**
	 * Returns the memory that no request uses or is on its way to.
	 * @param engineId the engine
	 * @return the free pieces
	 */
	int freePieces(String engineId);

}
