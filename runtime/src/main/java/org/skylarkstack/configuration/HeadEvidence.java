package org.skylarkstack.configuration;

/**
 * Evidence that a ticket was the last one at some time.
 *
 * @param number the number of the ticket, 0 if there was none
 * @param ageNanos the age of the evidence in nanoseconds when it was sent
 */
public record HeadEvidence(long number, long ageNanos) {

}
