package org.skylarkstack.schedule;

import org.skylarkstack.engine.EngineLoad;

/**
 * Receives the load reports of engines.
 */
public interface LoadListener {

	/**
	 * Applies a load report.
	 * @param model the model of the engine
	 * @param engineId the identifier of the engine
	 * @param load the report
	 * @param readNanos the time in nanoseconds at which the report was requested from the
	 * engine
	 */
	void applyLoadReport(String model, String engineId, EngineLoad load, long readNanos);

}
