package org.skylarkstack.standin;

/**
 * Change of a prefix cache.
 *
 * @param sequence the sequence number; the engine counts from 1 without gaps
 * @param stored {@code true} if the block was stored, {@code false} if it was evicted
 * @param hash the chained hash of the block
 * @param visibleAtNanos the monotonic time in nanoseconds from which the event is
 * reported
 */
public record CacheEvent(long sequence, boolean stored, long hash, long visibleAtNanos) {

}
