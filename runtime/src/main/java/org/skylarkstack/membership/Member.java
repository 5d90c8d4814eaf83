package org.skylarkstack.membership;

/**
 * Daemon of the fleet as seen from here.
 *
 * @param vmId the VM
 * @param incarnation the random number of its present start
 * @param dataCentre the data centre
 * @param leaving whether it is shutting down
 */
public record Member(String vmId, long incarnation, String dataCentre, boolean leaving) {

}
