package org.skylarkstack.membership;

import java.util.List;

/**
 * Reader of the platform's VM list, which lags behind the actual VMs.
 */
@FunctionalInterface
public interface PlatformVmList {

	/**
	 * Reads the list. May block until the timeout of one platform operation.
	 * @return the identifiers of the VMs
	 * @throws org.skylarkstack.store.StoreException if the platform does not respond
	 */
	List<String> read();

}
