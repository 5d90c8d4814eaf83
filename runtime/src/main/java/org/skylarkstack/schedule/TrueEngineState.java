package org.skylarkstack.schedule;

/**
 * True current state of the engines, without the lag of load reports. Only experiments
 * can provide it.
 */
public interface TrueEngineState {

	/**
	 * Returns when a prefill engine finishes its current work.
	 * @param engineId the identifier of the engine
	 * @return the time in nanoseconds
	 */
	long prefillFreeNanos(String engineId);

	/**
	 * Returns when the transfer link between two engines becomes free.
	 * @param prefillEngineId the sending engine
	 * @param decodeEngineId the receiving engine
	 * @return the time in nanoseconds
	 */
	long linkFreeNanos(String prefillEngineId, String decodeEngineId);

	/**
	 * Returns the number of decode slots that are neither in use nor assigned to a placed
	 * request.
	 * @param engineId the identifier of the engine
	 * @return the number of free slots
	 */
	int freeSlots(String engineId);

	/**
	 * Returns the memory that is neither in use nor assigned to a placed request.
	 * @param engineId the identifier of the engine
	 * @return the number of free memory pieces
	 */
	int freePieces(String engineId);

	/**
	 * Adds a placement to the state immediately.
	 * @param placement the placement
	 */
	void addPlacement(Placement placement);

}
