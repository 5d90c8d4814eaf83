package org.skylarkstack.peers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.random.RandomGenerator;

/**
 * Daemon to which reports are sent after a delay.
 *
 * @param target the daemon
 * @param delayMillis the delay in milliseconds
 */
record DelayedTarget(Peer target, long delayMillis) {

	/**
	 * Spreads the sending to several daemons evenly over a period, in random order. What
	 * a link loses because it is full then hits other daemons in each round.
	 * @param targets the daemons
	 * @param periodMillis the length of the period in milliseconds
	 * @param random the random number generator that determines the order
	 * @return one element for each daemon, in the order of the delays
	 */
	static List<DelayedTarget> spread(List<Peer> targets, long periodMillis, RandomGenerator random) {
		List<Peer> order = new ArrayList<>(targets);
		for (int unshuffled = order.size(); unshuffled > 1; unshuffled--) {
			Collections.swap(order, unshuffled - 1, random.nextInt(unshuffled));
		}
		List<DelayedTarget> spread = new ArrayList<>();
		for (Peer target : order) {
			spread.add(new DelayedTarget(target, spread.size() * periodMillis / order.size()));
		}
		return spread;
	}

}
