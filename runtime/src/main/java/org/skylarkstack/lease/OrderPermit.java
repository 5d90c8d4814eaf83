package org.skylarkstack.lease;

/**
 * Permission to send an order to an engine.
 *
 * @param fencingNumber the fencing number that the order carries
 * @param expiresNanos when the order expires, in nanoseconds on the holder's clock
 */
public record OrderPermit(long fencingNumber, long expiresNanos) {

}
