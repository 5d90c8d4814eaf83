package org.skylarkstack.engine;

import java.util.List;

import org.skylarkstack.configuration.EngineNode;

/**
 * Client of the model engines. Every failure is a
 * {@link org.skylarkstack.kernel.RouterException} whose verdict states whether the call
 * may have run.
 */
public interface EngineClient {

	/**
	 * Runs a prefill; the engine holds its result for a short time.
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
	 * @param resumeOffset the number of output tokens that the caller already has; 0 to
	 * start from the beginning
	 * @return the stream, to be closed by the caller of this method
	 */
	DecodeStream decode(EngineNode engine, EngineCall call, PrefillResult prefill, int resumeOffset);

	/**
	 * Cancels an attempt and frees what the engine holds for it.
	 * @param engine the engine
	 * @param requestId the id of the attempt
	 */
	void cancel(EngineNode engine, String requestId);

	/**
	 * Lists the requests for which the engine holds memory.
	 * @param engine the engine
	 * @return the held requests
	 */
	List<HeldRequest> held(EngineNode engine);

	/**
	 * Reads the engine's load report.
	 * @param engine the engine
	 * @return the load, which lags behind the state of the engine
	 */
	EngineLoad load(EngineNode engine);

}
