package org.skylarkstack.fleet;

import java.util.List;

/**
 * Configuration of one plain service of a local fleet.
 *
 * @param id the service identifier
 * @param dataCentres the data centre of each server of the service
 */
public record ServicePlan(String id, List<String> dataCentres) {

	/** Makes a defensive copy of the list. */
	public ServicePlan {
		dataCentres = List.copyOf(dataCentres);
	}

}
