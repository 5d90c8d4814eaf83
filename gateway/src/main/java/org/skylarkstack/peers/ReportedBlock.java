package org.skylarkstack.peers;

/**
 * Part of prompts that the sender refuses because it crashes backend servers.
 *
 * @param level the number of times that the part was blocked without a success in between
 * @param ageMillis the time since the latest crash that led to the block, in milliseconds
 */
public record ReportedBlock(int level, long ageMillis) {

}
