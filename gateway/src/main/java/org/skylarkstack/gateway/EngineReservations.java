package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;

/**
 * What one stream occupies: memory of the decode engine that it is meant for, and the
 * work of the prefill engine that processes its prompt.
 */
final class EngineReservations {

	private final EngineUse decodeUse;

	private final EngineUse prefillUse;

	private @Nullable BackendState decodeEngine;

	private @Nullable BackendState prefillEngine;

	/**
	 * Creates reservations of a request.
	 * @param facts the request
	 * @param expectedTokens the expected length of its answer
	 */
	EngineReservations(RequestFacts facts, long expectedTokens) {
		long promptTokens = Math.max(1, facts.promptTokens());
		this.decodeUse = new EngineUse(promptTokens, expectedTokens, facts.outputTokens());
		this.prefillUse = new EngineUse(promptTokens, 0, 0);
	}

	/**
	 * Returns the memory that the request needs at a decode engine.
	 * @return the memory
	 */
	EngineRun memory() {
		return this.decodeUse.run();
	}

	/**
	 * Takes note of the tokens that were generated so far.
	 * @param tokens the tokens
	 */
	void setGeneratedTokens(long tokens) {
		this.decodeUse.setGeneratedTokens(tokens);
	}

	@Nullable BackendState decodeEngine() {
		return this.decodeEngine;
	}

	/**
	 * Reserves memory of a decode engine in place of the former one.
	 * @param engine the engine
	 */
	void reserveDecode(BackendState engine) {
		releaseDecode();
		this.decodeEngine = engine;
		engine.reserve(this.decodeUse);
	}

	/**
	 * Counts the prompt at a prefill engine.
	 * @param engine the engine
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
