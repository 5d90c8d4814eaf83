package org.skylarkstack.configuration;

/**
 * Evidence that a ticket was the last recorded one at a certain time.
 *
 * @param number the number of the ticket, 0 if there was none
 * @param ageNanos the age of the evidence in nanoseconds when it was sent
 */
public record HeadEvidence(long number, long ageNanos) {

}
