package org.skylarkstack.membership;

/**
 * Shards of a VM's rate slice that are lent to the receiver of a heartbeat.
 *
 * @param shards the encoded set of shards
 * @param slices the number of rate slots behind the slice, for a check against a
 * different setting
 * @param termNanos the term of the loan in nanoseconds; the receiver counts it from its
 * own timestamp that the heartbeat echoes
 */
public record LoanOffer(byte[] shards, int slices, long termNanos) {

}
