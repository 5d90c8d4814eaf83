package org.skylarkstack.fleet;

import java.util.List;

/**
 * Plain service of a planned fleet.
 *
 * @param id the service
 * @param dataCentres the data centre of each of its servers
 */
public record ServicePlan(String id, List<String> dataCentres) {

	/** Copies the list. */
	public ServicePlan {
		dataCentres = List.copyOf(dataCentres);
	}

}
