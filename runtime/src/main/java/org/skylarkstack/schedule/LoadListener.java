package org.skylarkstack.schedule;

import org.skylarkstack.engine.EngineLoad;

/**
 * Receives load reports.
 */
public interface LoadListener {

	/**
	 * Takes a load report.
	 * @param model the model
	 * @param engineId the engine
	 * @param load the report
	 * @param readNanos when the report was requested from the engine
	 */
	void loadReport(String model, String engineId, EngineLoad load, long readNanos);

}
