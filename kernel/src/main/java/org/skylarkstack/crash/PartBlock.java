package org.skylarkstack.crash;

/**
 * Decision that a part of prompts crashes backend servers.
 *
 * @param level the number of times that the part was blocked without a success in between
 * @param sinceNanos the time of the latest crash that led to the decision, on the
 * monotonic clock of this process, in nanoseconds
 */
public record PartBlock(int level, long sinceNanos) {

}
