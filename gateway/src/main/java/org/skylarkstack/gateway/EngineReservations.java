package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peers.EngineRun;

/**
 * What one stream occupies: memory of the decode engine that it is meant for, and the
 * work of the prefill engine that processes its prompt.
 */
final class EngineReservations {

	private final EngineUse answer;

	private final EngineUse prompt;

	private @Nullable BackendState decodeEngine;

	private @Nullable BackendState prefillEngine;

	/**
	 * Creates reservations of a request.
	 * @param facts the request
	 * @param expectedTokens the expected length of its answer
	 */
	EngineReservations(RequestFacts facts, long expectedTokens) {
		long promptTokens = Math.max(1, facts.promptTokens());
		this.answer = new EngineUse(promptTokens, expectedTokens, facts.outputTokens());
		this.prompt = new EngineUse(promptTokens, 0, 0);
	}

	/**
	 * Returns the memory that the request needs at a decode engine.
	 * @return the memory
	 */
	EngineRun memory() {
		return this.answer.run();
	}

	/**
	 * Takes note of the tokens that were generated so far.
	 * @param tokens the tokens
	 */
	void generated(long tokens) {
		this.answer.generated(tokens);
	}

	@Nullable BackendState decodeEngine() {
		return this.decodeEngine;
	}

	/**
	 * Reserves memory of a decode engine in place of the former one.
	 * @param engine the engine
	 */
	void reserve(BackendState engine) {
		endDecode();
		this.decodeEngine = engine;
		engine.reserve(this.answer);
	}

	/**
	 * Counts the prompt at a prefill engine.
	 * @param engine the engine
	 */
	void prefillAt(BackendState engine) {
		this.prefillEngine = engine;
		engine.reserve(this.prompt);
	}

	void endDecode() {
		BackendState engine = this.decodeEngine;
		if (engine != null) {
			this.decodeEngine = null;
			engine.unreserve(this.answer);
		}
	}

	void endPrefill() {
		BackendState engine = this.prefillEngine;
		if (engine != null) {
			this.prefillEngine = null;
			engine.unreserve(this.prompt);
		}
	}

}
