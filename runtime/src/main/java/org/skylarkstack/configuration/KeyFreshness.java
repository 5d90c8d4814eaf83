package org.skylarkstack.configuration;

import java.time.Duration;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Tracks how recently the configuration of this daemon was known to contain all recorded
 * tickets.
 *
 * <p>
 * Evidence states that a ticket number was the head, the number of the last recorded
 * ticket, at a given time. It counts only once this daemon has applied all tickets up to
 * that number; evidence for a higher number waits. Among waiting evidence the lowest
 * number is kept, because a daemon that is always one ticket behind could otherwise never
 * use its evidence. For the same number the later evidence is kept.
 */
public final class KeyFreshness {

	private final ConfigurationHolder configuration;

	private volatile @Nullable Evidence confirmed;

	private volatile @Nullable Evidence waiting;

	/**
	 * Creates a tracker without evidence.
	 * @param configuration holds the current configuration
	 */
	public KeyFreshness(ConfigurationHolder configuration) {
		this.configuration = configuration;
	}

	/**
	 * Records evidence of the head.
	 * @param headNumber the number that was the head
	 * @param asOfNanos the time at which it was the head, in this daemon's monotonic time
	 * in nanoseconds
	 */
	public synchronized void observe(long headNumber, long asOfNanos) {
		promoteWaiting();
		Evidence evidence = new Evidence(headNumber, asOfNanos);
		if (headNumber <= this.configuration.current().appliedNumber()) {
			updateConfirmed(evidence);
			return;
		}
		Evidence previous = this.waiting;
		if (previous == null || headNumber < previous.number
				|| (headNumber == previous.number && asOfNanos - previous.asOfNanos > 0)) {
			this.waiting = evidence;
		}
	}

	private synchronized void promoteWaiting() {
		Evidence evidence = this.waiting;
		if (evidence != null && evidence.number <= this.configuration.current().appliedNumber()) {
			this.waiting = null;
			updateConfirmed(evidence);
		}
	}

	private void updateConfirmed(Evidence evidence) {
		Evidence previous = this.confirmed;
		if (previous == null || evidence.asOfNanos - previous.asOfNanos > 0) {
			this.confirmed = evidence;
		}
	}

	/**
	 * Returns the latest evidence that counts.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the evidence with its age, or empty if there is none
	 */
	public Optional<HeadEvidence> evidence(long nowNanos) {
		if (this.waiting != null) {
			promoteWaiting();
		}
		Evidence evidence = this.confirmed;
		return (evidence != null)
				? Optional.of(new HeadEvidence(evidence.number, Math.max(0, nowNanos - evidence.asOfNanos)))
				: Optional.empty();
	}

	/**
	 * Refuses a team's request if the evidence is missing or older than the team's limit.
	 * @param team the team
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @throws RouterException with {@link ErrorType#STALE_KEY_STATE} if the request is
	 * refused
	 */
	public void check(Team team, long nowNanos) {
		Integer limitSeconds = team.staleKeyLimitSeconds();
		if (limitSeconds == null) {
			return;
		}
		Optional<HeadEvidence> evidence = evidence(nowNanos);
		if (evidence.isEmpty() || evidence.get().ageNanos() > Duration.ofSeconds(limitSeconds).toNanos()) {
			throw new RouterException(ErrorType.STALE_KEY_STATE, team.id());
		}
	}

	private record Evidence(long number, long asOfNanos) {

	}

}
