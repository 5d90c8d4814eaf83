package org.skylarkstack.membership;

import java.util.List;

/**
 * Platform's lagging list of VMs.
 */
@FunctionalInterface
public interface PlatformVmList {

	/**
	 * Reads the list. May block up to the bound for one platform operation.
	 * @return the VMs
	 * @throws org.skylarkstack.store.StoreException if the platform does not answer
	 */
	List<String> read();

}
