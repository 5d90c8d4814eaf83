package org.skylarkstack.standin;

import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Fault injection and operation counters of the platform stand-in.
 */
public final class PlatformFaults {

	private final Set<String> cutOffDataCentres = ConcurrentHashMap.newKeySet();

	private final AtomicInteger repliesToLose = new AtomicInteger();

	private final AtomicInteger writesToHold = new AtomicInteger();

	private final Map<String, AtomicLong> operations = new ConcurrentHashMap<>();

	private volatile boolean down;

	private volatile int delayMillis;

	/**
	 * Makes the platform unavailable or available again.
	 * @param down whether the platform is unavailable
	 */
	public void down(boolean down) {
		this.down = down;
	}

	/**
	 * Delays each operation.
	 * @param millis the delay in milliseconds
	 */
	public void delayMillis(int millis) {
		this.delayMillis = millis;
	}

	/**
	 * Makes the platform unreachable from a data centre, or reachable again.
	 * @param dataCentre the data centre
	 * @param isCutOff whether the platform is unreachable from it
	 */
	public void cutOff(String dataCentre, boolean isCutOff) {
		if (isCutOff) {
			this.cutOffDataCentres.add(dataCentre);
		}
		else {
			this.cutOffDataCentres.remove(dataCentre);
		}
	}

	/**
	 * Replaces the responses of the next writes by an error after the writes took effect.
	 * @param count the number of writes
	 */
	public void loseReplies(int count) {
		this.repliesToLose.set(count);
	}

	/**
	 * Responds to the next writes with an error and holds them, as when a write is
	 * delayed in the network beyond its timeout.
	 * {@link PlatformStandIn#applyHeldWrites()} applies them.
	 * @param count the number of writes
	 */
	public void holdWrites(int count) {
		this.writesToHold.set(count);
	}

	/**
	 * Returns the number of requests for an operation, including failed ones.
	 * @param operation the name in the API, such as {@code GetItem}
	 * @return the number of requests
	 */
	public long count(String operation) {
		AtomicLong counter = this.operations.get(operation);
		return (counter != null) ? counter.get() : 0;
	}

	boolean admit(String dataCentre, String operation) {
		this.operations.computeIfAbsent(operation, (key) -> new AtomicLong()).incrementAndGet();
		sleep(this.delayMillis);
		return !this.down && !this.cutOffDataCentres.contains(dataCentre);
	}

	boolean losesReply(String operation) {
		return "TransactWriteItems".equals(operation)
				&& this.repliesToLose.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	boolean holdsWrite(String operation) {
		return "TransactWriteItems".equals(operation)
				&& this.writesToHold.getAndUpdate((count) -> Math.max(0, count - 1)) > 0;
	}

	private static void sleep(int millis) {
		if (millis > 0) {
			try {
				Thread.sleep(millis);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
	}

}
