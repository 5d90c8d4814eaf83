package org.skylarkstack.fleet;

/**
 * Configuration of one VM of a local fleet.
 *
 * @param vmId the VM identifier
 * @param dataCentre the data centre of the VM
 */
public record VmPlan(String vmId, String dataCentre) {

}
