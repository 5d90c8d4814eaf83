package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.RequestMemory;

/**
 * Reservations of one stream: memory at the decode engine that will generate its
 * response, and the prompt tokens at the prefill engine that processes its prompt.
 */
final class EngineReservations {

	private final RequestMemoryTracker decodeMemory;

	private final RequestMemoryTracker prefillMemory;

	private @Nullable BackendState decodeEngine;

	private @Nullable BackendState prefillEngine;

	// Whether a request was counted for the decode engine and has not been sent yet.
	private boolean decodeCounted;

	/**
	 * Creates the reservations of a request, none of which is held yet.
	 * @param facts the caller's statements about the request
	 * @param expectedTokens the expected number of output tokens
	 */
	EngineReservations(RequestFacts facts, long expectedTokens) {
		long promptTokens = Math.max(1, facts.promptTokens());
		this.decodeMemory = new RequestMemoryTracker(promptTokens, expectedTokens, facts.outputTokens());
		this.prefillMemory = new RequestMemoryTracker(promptTokens, 0, 0);
	}

	/**
	 * Returns the memory that the request needs at a decode engine.
	 * @return the tokens that it occupies now and by which it is expected to grow
	 */
	RequestMemory memory() {
		return this.decodeMemory.memory();
	}

	/**
	 * Updates the memory that the request occupies at the decode engine.
	 * @param tokens the number of output tokens generated so far
	 */
	void setGeneratedTokens(long tokens) {
		this.decodeMemory.setGeneratedTokens(tokens);
	}

	@Nullable BackendState decodeEngine() {
		return this.decodeEngine;
	}

	/**
	 * Reserves memory at a decode engine and releases the reservation at the previous
	 * one. The request counts towards the limit of the engine from now on.
	 * @param engine the decode engine that will generate the response
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void reserveDecode(BackendState engine, long nowNanos) {
		releaseDecode();
		this.decodeEngine = engine;
		engine.reserve(this.decodeMemory);
		engine.condition().reserveRequest(nowNanos);
		this.decodeCounted = true;
	}

	/**
	 * Records that the request is sent to the decode engine.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void decodeSent(long nowNanos) {
		BackendState engine = this.decodeEngine;
		if (engine != null && this.decodeCounted) {
			engine.condition().coldLimit().sendReserved(nowNanos);
		}
		this.decodeCounted = false;
	}

	/**
	 * Adds the prompt to the load of a prefill engine.
	 * @param engine the prefill engine that will process the prompt
	 */
	void reservePrefill(BackendState engine) {
		this.prefillEngine = engine;
		engine.reserve(this.prefillMemory);
	}

	void releaseDecode() {
		BackendState engine = this.decodeEngine;
		if (engine != null) {
			this.decodeEngine = null;
			engine.release(this.decodeMemory);
			if (this.decodeCounted) {
				this.decodeCounted = false;
				engine.condition().cancelReservedRequest();
			}
		}
	}

	void releasePrefill() {
		BackendState engine = this.prefillEngine;
		if (engine != null) {
			this.prefillEngine = null;
			engine.release(this.prefillMemory);
		}
	}

}
