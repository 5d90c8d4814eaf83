package org.skylarkstack.request;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.membership.MembershipView;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.PeerTransport;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Shares crash suspects with the peers. Learning of a crash ends the other running
 * requests with the same content, because each of them could cost another backend server.
 */
public final class CrashReporter {

	private static final Logger LOG = LoggerFactory.getLogger(CrashReporter.class);

	private static final long ACK_WAIT_MILLIS = 200;

	private final CrashSuspects suspects;

	private final OpenRequests openRequests;

	private final Membership membership;

	private final PeerTransport transport;

	private final TimeSource time;

	private final Map<String, PendingReport> pendingReports = new ConcurrentHashMap<>();

	/**
	 * Creates a reporter and handles the messages of peers.
	 * @param suspects the suspects known here
	 * @param openRequests the requests running here
	 * @param membership names the peers
	 * @param transport sends the reports
	 * @param time the time source
	 */
	public CrashReporter(CrashSuspects suspects, OpenRequests openRequests, Membership membership,
			PeerTransport transport, TimeSource time) {
		this.suspects = suspects;
		this.openRequests = openRequests;
		this.membership = membership;
		this.transport = transport;
		this.time = time;
		transport.handle(CrashReport.class, this::onReport);
		transport.handle(CrashReportAck.class, this::onAcknowledgement);
	}

	/**
	 * Records a loss and waits for a bounded time until the peers have confirmed it.
	 * @param fingerprint the hash of team and body
	 * @param crashId the attempt whose engine died
	 * @param engineId the engine
	 * @param reporting the cancellation of the request that reports
	 */
	public void report(String fingerprint, String crashId, String engineId, Cancellation reporting) {
		CompletableFuture<Void> confirmed = broadcast(fingerprint, crashId, engineId, reporting);
		try {
			confirmed.get(ACK_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.atWarn().addKeyValue("event", "crash_report_unconfirmed").addKeyValue("crash", crashId).log();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("a crash report never fails", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.pendingReports.remove(crashId);
		}
	}

	// Records a loss and tells the peers; the result ends when all have confirmed.
	CompletableFuture<Void> broadcast(String fingerprint, String crashId, String engineId, Cancellation reporting) {
		this.suspects.record(fingerprint, crashId, this.time.nanos());
		this.openRequests.endSuspects(fingerprint, reporting);
		LOG.atWarn()
			.addKeyValue("event", "engine_lost")
			.addKeyValue("engine", engineId)
			.addKeyValue("attempt", crashId)
			.log();
		Set<String> peers = peers();
		PendingReport pending = new PendingReport(new HashSet<>(peers));
		this.pendingReports.put(crashId, pending);
		CrashReport report = new CrashReport(fingerprint, crashId, engineId, false);
		for (String peer : peers) {
			if (!this.transport.send(peer, report)) {
				pending.confirm(peer);
			}
		}
		pending.finishIfEmpty();
		return pending.done;
	}

	/**
	 * Forgets a suspect here and at the peers because it ran to its end.
	 * @param fingerprint the hash of team and body
	 */
	public void clear(String fingerprint) {
		this.suspects.clear(fingerprint);
		peers().forEach((peer) -> this.transport.send(peer, new CrashReport(fingerprint, "", "", true)));
	}

	private Set<String> peers() {
		MembershipView view = this.membership.view();
		Set<String> peers = new HashSet<>(view.members().keySet());
		peers.remove(view.self());
		return peers;
	}

	private void onReport(String from, CrashReport report) {
		if (report.cleared()) {
			this.suspects.clear(report.fingerprint());
			return;
		}
		this.suspects.record(report.fingerprint(), report.crashId(), this.time.nanos());
		this.openRequests.endSuspects(report.fingerprint(), new Cancellation());
		this.transport.send(from, new CrashReportAck(report.crashId()));
	}

	private void onAcknowledgement(String from, CrashReportAck ack) {
		PendingReport pending = this.pendingReports.get(ack.crashId());
		if (pending != null) {
			pending.confirm(from);
		}
	}

	/**
	 * Peers that have not confirmed a report yet.
	 */
	private static final class PendingReport {

		private final Set<String> awaited;

		private final CompletableFuture<Void> done = new CompletableFuture<>();

		PendingReport(Set<String> peers) {
			this.awaited = peers;
		}

		synchronized void confirm(String peer) {
			this.awaited.remove(peer);
			finishIfEmpty();
		}

		synchronized void finishIfEmpty() {
			if (this.awaited.isEmpty()) {
				this.done.complete(null);
			}
		}

	}

}
