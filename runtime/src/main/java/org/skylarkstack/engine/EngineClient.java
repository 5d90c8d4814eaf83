package org.skylarkstack.engine;

import java.util.List;

import org.skylarkstack.configuration.EngineNode;

/**
 * Calls engines. Every failure is a {@link org.skylarkstack.kernel.RouterException} whose
 * verdict says whether the call may have run.
 */
public interface EngineClient {

	/**
	 * Runs a prefill and keeps its result on the engine for a short time.
	 * @param engine the engine
	 * @param call the call
	 * @return the result
	 */
	PrefillResult prefill(EngineNode engine, EngineCall call);

	/**
	 * Starts a decode.
	 * @param engine the engine
	 * @param call the call
	 * @param prefill the prefill result to import
	 * @param resumeOffset the number of output tokens that the caller already has
	 * @return the stream
	 */
	DecodeStream decode(EngineNode engine, EngineCall call, PrefillResult prefill, int resumeOffset);

	/**
	 * Cancels a request and frees what the engine holds for it.
	 * @param engine the engine
	 * @param requestId the request and attempt
	 */
	void cancel(EngineNode engine, String requestId);

	/**
	 * Lists what the engine holds.
	 * @param engine the engine
	 * @return the held requests
	 */
	List<HeldRequest> held(EngineNode engine);

	/**
	 * Reads the engine's load report.
	 * @param engine the engine
	 * @return the load
	 */
	EngineLoad load(EngineNode engine);

}
