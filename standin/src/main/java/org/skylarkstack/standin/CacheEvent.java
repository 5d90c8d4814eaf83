package org.skylarkstack.standin;

/**
 * Change of a prefix cache.
 *
 * @param sequence the sequence number, counted from 1 without gaps by the engine
 * @param stored whether the block was stored, otherwise it was evicted
 * @param hash the chained hash of the block
 * @param visibleAtNanos the monotonic time from which the event is reported
 */
public record CacheEvent(long sequence, boolean stored, long hash, long visibleAtNanos) {

}
