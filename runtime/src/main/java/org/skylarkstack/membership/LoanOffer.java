package org.skylarkstack.membership;

/**
 * Loan of shards of a VM's rate slice to the receiver of a heartbeat.
 *
 * @param shards the encoded set of shards
 * @param slices the number of rate slots from which the slice is computed, so that the
 * receiver can detect a different setting
 * @param termNanos the duration of the loan in nanoseconds, which the receiver counts
 * from its own timestamp echoed in the heartbeat
 */
public record LoanOffer(byte[] shards, int slices, long termNanos) {

}
