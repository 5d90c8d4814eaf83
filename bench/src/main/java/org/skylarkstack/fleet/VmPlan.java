package org.skylarkstack.fleet;

/**
 * VM of a planned fleet.
 *
 * @param vmId the VM
 * @param dataCentre its data centre
 */
public record VmPlan(String vmId, String dataCentre) {

}
