package org.skylarkstack.configuration;

import java.time.Duration;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Knows until when the state of this daemon is proven to equal the head of the tickets.
 *
 * <p>
 * Evidence is a number that was the head at a time. It counts only once all tickets up to
 * that number are in force here; evidence for a higher number waits. The oldest waiting
 * evidence is kept, because a daemon that is always one ticket behind would otherwise
 * never use any.
 */
public final class KeyFreshness {

	private final ConfigurationHolder configuration;

	private volatile @Nullable Evidence confirmed;

	private volatile @Nullable Evidence waiting;

	/**
	 * Creates a clock without evidence.
	 * @param configuration the configuration in force
	 */
	public KeyFreshness(ConfigurationHolder configuration) {
		this.configuration = configuration;
	}

	/**
	 * Takes note of evidence.
	 * @param headNumber the number that was the head
	 * @param asOfNanos when it was the head, on the clock of this daemon
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
	 * Returns the newest evidence that counts, to be passed on to a peer.
	 * @param nowNanos the present time
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
	 * Refuses a team's request if the key state is older than the team allows.
	 * @param team the team
	 * @param nowNanos the present time
	 * @throws RouterException with {@link ErrorType#STALE_KEY_STATE}
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
