package org.skylarkstack.request;

import java.util.HashSet;
import java.util.List;
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
 * Shares crash suspects with the peers. A VM that records a crash ends its other running
 * requests with the same content, because each of them could crash another engine.
 */
public final class CrashReporter {

	private static final Logger LOG = LoggerFactory.getLogger(CrashReporter.class);

	private static final long ACK_WAIT_MILLIS = 200;

	// A response that a peer reports counts as that much older, so that it does not clear
	// a later crash.
	private static final long MAX_DELIVERY_NANOS = 1_000_000_000L;

	private final CrashSuspects suspects;

	private final OpenRequests openRequests;

	private final Membership membership;

	private final PeerTransport transport;

	private final TimeSource time;

	private final Map<String, PendingReport> pendingReports = new ConcurrentHashMap<>();

	/**
	 * Creates a reporter and registers its handlers for peer messages.
	 * @param suspects the crash suspects that this VM has recorded
	 * @param openRequests the requests that run on this VM
	 * @param membership lists the peers
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
	 * Records a crash, sends it to all peers, and waits up to 200 ms until they have
	 * confirmed it.
	 * @param report the report of the crash
	 * @param reporting the cancellation of the reporting request, which is not ended
	 */
	public void report(CrashReport report, Cancellation reporting) {
		String crashId = report.crashId();
		CompletableFuture<Void> confirmed = broadcast(report, reporting);
		try {
			confirmed.get(ACK_WAIT_MILLIS, TimeUnit.MILLISECONDS);
		}
		catch (TimeoutException ex) {
			LOG.atWarn().addKeyValue("event", "crash_report_unconfirmed").addKeyValue("crash", crashId).log();
		}
		catch (ExecutionException ex) {
			throw new IllegalStateException("waiting for crash report acknowledgements failed", ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		finally {
			this.pendingReports.remove(crashId);
		}
	}

	// Records a crash and sends it to all peers. The returned future completes when every
	// peer that could be sent to has confirmed it.
	CompletableFuture<Void> broadcast(CrashReport report, Cancellation reporting) {
		String crashId = report.crashId();
		this.suspects.record(report.fingerprint(), crashId, this.time.nanos());
		this.suspects.recordMessages(report, this.time.nanos());
		this.openRequests.endSuspects(report.fingerprint(), reporting);
		LOG.atWarn()
			.addKeyValue("event", "engine_lost")
			.addKeyValue("engine", report.engineId())
			.addKeyValue("attempt", crashId)
			.addKeyValue("started", report.started())
			.addKeyValue("messages", report.messages())
			.log();
		Set<String> peers = peers();
		PendingReport pending = new PendingReport(new HashSet<>(peers));
		this.pendingReports.put(crashId, pending);
		for (String peer : peers) {
			if (!this.transport.send(peer, report)) {
				pending.confirm(peer);
			}
		}
		pending.finishIfEmpty();
		return pending.done;
	}

	/**
	 * Removes a suspect on this VM and on the peers because its request ran to its end.
	 * @param fingerprint the hash of team, path and body
	 */
	public void clear(String fingerprint) {
		this.suspects.clear(fingerprint);
		peers()
			.forEach((peer) -> this.transport.send(peer, new CrashReport(fingerprint, "", "", true, List.of(), false)));
	}

	/**
	 * Records that an engine has started a response to a request with certain messages,
	 * and reports it to the peers if any of them was a suspect.
	 * @param messages the keys of the messages
	 * @param sentNanos when the request was sent, as monotonic time in nanoseconds
	 */
	public void recordStarted(List<String> messages, long sentNanos) {
		if (this.suspects.recordStarted(messages, sentNanos, this.time.nanos())) {
			peers().forEach((peer) -> this.transport.send(peer, new CrashReport("", "", "", true, messages, true)));
		}
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
			long now = this.time.nanos();
			this.suspects.recordStarted(report.messages(), now - MAX_DELIVERY_NANOS, now);
			return;
		}
		this.suspects.record(report.fingerprint(), report.crashId(), this.time.nanos());
		this.suspects.recordMessages(report, this.time.nanos());
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
	 * Report that some peers have not confirmed yet.
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
