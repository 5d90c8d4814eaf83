package org.skylarkstack.gateway;

/**
 * Claim of a daemon to lead a task. Only one daemon at a time may lead a task.
 *
 * @param holder the name of the daemon that made the claim, or an empty string if the
 * task has never been claimed
 * @param fencingNumber the number of the claim, which increases with each claim; 0 if the
 * task has never been claimed
 * @param era the number of times that the store of the claims had lost recent writes when
 * the claim was read
 * @param eraSinceNanos when this daemon first knew of that number, as monotonic time in
 * nanoseconds
 */
public record LeadershipClaim(String holder, long fencingNumber, long era, long eraSinceNanos) {

}
