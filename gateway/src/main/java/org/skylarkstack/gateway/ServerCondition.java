package org.skylarkstack.gateway;

import java.util.concurrent.TimeUnit;

import org.skylarkstack.coldness.ColdBounds;
import org.skylarkstack.coldness.ColdLimit;
import org.skylarkstack.coldness.ColdPolicies;
import org.skylarkstack.share.LimitShares;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * What one incarnation of a backend server has stated about itself in its responses, and
 * how much longer it stays cold by its entry and its responses. It is kept when the
 * announcement of the server disappears and returns. Confined to one thread.
 */
final class ServerCondition {

	private static final Logger log = LoggerFactory.getLogger(ServerCondition.class);

	private final String server;

	private final long startedMillis;

	private final LimitShares shares;

	private final ServerLimit limit = new ServerLimit();

	private final ServerPause pause = new ServerPause();

	private final ColdLimit coldLimit;

	private boolean leaving;

	private boolean coldTimeAnnounced;

	private long announcedSequenceNumber;

	private long announcedColdMillis;

	/**
	 * Creates the condition of a server that has stated nothing yet.
	 * @param server the identifier of the server
	 * @param startedMillis when its incarnation started, in milliseconds since the epoch
	 * @param shares divides the limits of servers among the daemons
	 */
	ServerCondition(String server, long startedMillis, LimitShares shares) {
		this(server, startedMillis, shares, new ColdLimit(server, "", shares, new ColdPolicies(ColdBounds.DEFAULT)));
	}

	/**
	 * Creates the condition of a server that has stated nothing yet.
	 * @param server the identifier of the server
	 * @param startedMillis when its incarnation started, in milliseconds since the epoch
	 * @param shares divides the limits of servers among the daemons
	 * @param coldLimit the limit that holds while the server is cold
	 */
	ServerCondition(String server, long startedMillis, LimitShares shares, ColdLimit coldLimit) {
		this.coldLimit = coldLimit;
		this.server = server;
		this.startedMillis = startedMillis;
		this.shares = shares;
	}

	boolean belongsTo(BackendNode node) {
		return this.startedMillis == node.startedMillis();
	}

	/**
	 * Applies what the server states in a response.
	 * @param notice the statements
	 * @param requestId the request that it answered
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void apply(ServerNotice notice, String requestId, long nowNanos) {
		if (notice.leaving() && !this.leaving) {
			this.leaving = true;
			log.atInfo()
				.addKeyValue("event", "server-leaving")
				.addKeyValue("server", this.server)
				.addKeyValue("id", requestId)
				.log();
		}
		applyPause(notice, requestId, nowNanos);
		applyLimit(notice, requestId, nowNanos);
		this.coldLimit.extend(notice.coldRemainingMillis(), nowNanos);
	}

	/**
	 * Applies the remaining cold time of an announcement, unless it was applied before.
	 * @param node the announcement
	 * @param receivedNanos when it was received, as monotonic time in nanoseconds
	 */
	void announceColdTime(BackendNode node, long receivedNanos) {
		boolean repeated = this.coldTimeAnnounced && this.announcedSequenceNumber == node.sequenceNumber()
				&& this.announcedColdMillis == node.coldRemainingMillis();
		if (!repeated) {
			this.coldTimeAnnounced = true;
			this.announcedSequenceNumber = node.sequenceNumber();
			this.announcedColdMillis = node.coldRemainingMillis();
			this.coldLimit.announce(node.coldRemainingMillis(), receivedNanos);
		}
	}

	/**
	 * Returns the limit that holds while the server is cold.
	 * @return the limit, updated in place
	 */
	ColdLimit coldLimit() {
		return this.coldLimit;
	}

	private void applyPause(ServerNotice notice, String requestId, long nowNanos) {
		if (notice.pauseMillis() == 0) {
			this.pause.recordResponse(nowNanos);
			return;
		}
		this.pause.begin(TimeUnit.MILLISECONDS.toNanos(notice.pauseMillis()), nowNanos);
		log.atInfo()
			.addKeyValue("event", "server-paused")
			.addKeyValue("server", this.server)
			.addKeyValue("forMs", notice.pauseMillis())
			.addKeyValue("id", requestId)
			.log();
	}

	private void applyLimit(ServerNotice notice, String requestId, long nowNanos) {
		double former = this.limit.perSecond();
		double named = notice.limitPerSecond();
		if (!Double.isNaN(named)) {
			this.limit.name(named, this.shares.of(this.server, named, nowNanos), nowNanos);
		}
		if (this.limit.perSecond() != former) {
			log.atInfo()
				.addKeyValue("event", "server-limit-changed")
				.addKeyValue("server", this.server)
				.addKeyValue("perSecond", this.limit.perSecond())
				.addKeyValue("former", former)
				.addKeyValue("id", requestId)
				.log();
		}
	}

	/**
	 * Returns whether the server has stated that it leaves, which it cannot take back.
	 * @return whether it must get no new requests
	 */
	boolean isLeaving() {
		return this.leaving;
	}

	/**
	 * Returns whether this daemon may send a request to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether the server takes one
	 */
	boolean accepts(long nowNanos) {
		return waitNanos(nowNanos) == 0;
	}

	/**
	 * Returns whether the server may get a request that could be left out: it takes
	 * requests, is not cold, has not paused lately and limits none.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return whether it may get one
	 */
	boolean acceptsExtra(long nowNanos) {
		return accepts(nowNanos) && this.coldLimit.remainingNanos(nowNanos) == 0 && !this.pause.isActive()
				&& Double.isInfinite(this.limit.perSecond());
	}

	/**
	 * Returns when this daemon may send a request to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the time until then in nanoseconds, 0 for now
	 */
	long waitNanos(long nowNanos) {
		return Math.max(this.coldLimit.waitNanos(nowNanos),
				Math.max(this.pause.waitNanos(nowNanos), this.limit.waitNanos(nowNanos)));
	}

	/**
	 * Returns when some daemon may send a request to the server.
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the expected time until then in nanoseconds, 0 for now
	 */
	long fleetWaitNanos(long nowNanos) {
		return Math.max(this.coldLimit.fleetWaitNanos(nowNanos),
				Math.max(this.pause.waitNanos(nowNanos), this.limit.fleetWaitNanos(nowNanos)));
	}

	/**
	 * Counts a request, also one that is sent although the server does not take it.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void countRequest(long nowNanos) {
		this.pause.recordRequest(nowNanos);
		this.limit.take(nowNanos);
		this.coldLimit.take(nowNanos);
	}

	/**
	 * Counts a request that will be sent later.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	void reserveRequest(long nowNanos) {
		this.pause.recordRequest(nowNanos);
		this.limit.take(nowNanos);
		this.coldLimit.reserve(nowNanos);
	}

	/** Takes back the count of a reserved request that was not sent. */
	void cancelReservedRequest() {
		this.pause.recordUnsent();
		this.limit.giveBack();
		this.coldLimit.cancelReserved();
	}

}
