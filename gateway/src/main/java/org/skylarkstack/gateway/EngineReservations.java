package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;

/**
 * Reservations of one stream: memory at the decode engine that will generate its answer,
 * and the prompt tokens at the prefill engine that processes its prompt.
 */
final class EngineReservations {

	private final EngineUse decodeUse;

	private final EngineUse prefillUse;

	private @Nullable BackendState decodeEngine;

	private @Nullable BackendState prefillEngine;

	/**
	 * Creates the reservations of a request, none of which is held yet.
	 * @param facts the caller's statements about the request
	 * @param expectedTokens the expected number of output tokens
	 */
	EngineReservations(RequestFacts facts, long expectedTokens) {
		long promptTokens = Math.max(1, facts.promptTokens());
		this.decodeUse = new EngineUse(promptTokens, expectedTokens, facts.outputTokens());
		this.prefillUse = new EngineUse(promptTokens, 0, 0);
	}

	/**
	 * Returns the memory that the request needs at a decode engine.
	 * @return the tokens that it occupies now and by which it is expected to grow
	 */
	EngineRun memory() {
		return this.decodeUse.run();
	}

	/**
	 * Updates the memory that the request occupies at the decode engine.
	 * @param tokens the number of output tokens generated so far
	 */
	void setGeneratedTokens(long tokens) {
		this.decodeUse.setGeneratedTokens(tokens);
	}

	@Nullable BackendState decodeEngine() {
		return this.decodeEngine;
	}

	/**
	 * Reserves memory at a decode engine and releases the reservation at the previous
	 * one.
	 * @param engine the decode engine that will generate the answer
	 */
	void reserveDecode(BackendState engine) {
		releaseDecode();
		this.decodeEngine = engine;
		engine.reserve(this.decodeUse);
	}

	/**
	 * Adds the prompt to the load of a prefill engine.
	 * @param engine the prefill engine that will process the prompt
	 */
	void reservePrefill(BackendState engine) {
		this.prefillEngine = engine;
		engine.reserve(this.prefillUse);
	}

	void releaseDecode() {
		BackendState engine = this.decodeEngine;
		if (engine != null) {
			this.decodeEngine = null;
			engine.unreserve(this.decodeUse);
		}
	}

	void releasePrefill() {
		BackendState engine = this.prefillEngine;
		if (engine != null) {
			this.prefillEngine = null;
			engine.unreserve(this.prefillUse);
		}
	}

}
