package org.skylarkstack.membership;

/**
 * Daemon in the fleet.
 *
 * @param vmId the VM on which it runs
 * @param incarnation the random number that identifies its current process
 * @param dataCentre the data centre of the VM
 * @param leaving whether it is shutting down
 */
public record Member(String vmId, long incarnation, String dataCentre, boolean leaving) {

}
