package org.skylarkstack.lease;

/**
 * Permission to send an order to an engine.
 *
 * @param fencingNumber the fencing number that the order carries
 * @param expiresNanos when the order expires, on the clock of the holder
 */
public record OrderPermit(long fencingNumber, long expiresNanos) {

}
