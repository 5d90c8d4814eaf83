package org.skylarkstack.daemon;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.HeadEvidence;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.TicketLog;
import org.skylarkstack.engine.HttpEngineClient;
import org.skylarkstack.limit.LendingTeamLimiter;
import org.skylarkstack.membership.Membership;
import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.peer.TcpPeerTransport;
import org.skylarkstack.request.ClaimWriteRetryQueue;
import org.skylarkstack.request.EngineCanceller;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.request.RequestCounters;
import org.skylarkstack.request.ShutdownAdmission;

/**
 * Registers gauges and counters that read the state of a daemon's components.
 */
@Singleton
final class DaemonMetrics {

	private static final long NANOS_PER_SECOND = 1_000_000_000L;

	private final RouterMetrics metrics;

	@Inject
	DaemonMetrics(RouterMetrics metrics, ConfigurationHolder configuration, KeyFreshness freshness,
			Membership membership, LendingTeamLimiter limiter, TcpPeerTransport transport, OpenRequests openRequests,
			RequestCounters requests, EngineCanceller canceller, HttpEngineClient engines,
			ClaimWriteRetryQueue claimWriteRetryQueue, ShutdownAdmission shutdownAdmission, TicketLog tickets,
			IdempotencyClaims claims, TimeSource time) {
		this.metrics = metrics;
		metrics.gauge("skylark_ticket_applied", "Number up to which all tickets are in force.",
				() -> configuration.current().appliedNumber());
		metrics.gauge("skylark_key_state_age_seconds", "Age of the last proof that key state is current; -1 if none.",
				() -> ageSeconds(freshness, time.nanos()));
		metrics.gauge("skylark_members_live", "Live members in this VM's view.",
				() -> membership.view().members().size());
		metrics.gauge("skylark_rate_slot_held", "Whether this VM holds a rate slot.",
				() -> (limiter.slot() >= 0) ? 1 : 0);
		metrics.gauge("skylark_open_requests", "Requests under way.", openRequests::openCount);
		metrics.counter("skylark_retries_total", "Requests sent again.", requests::retries);
		metrics.counter("skylark_resumes_total", "Streams resumed on another engine.", requests::resumes);
		metrics.counter("skylark_prefill_tokens_total", "Prompt tokens prefilled.", requests::prefillTokens);
		metrics.counter("skylark_wasted_prefill_tokens_total", "Prompt tokens prefilled in vain.",
				requests::wastedPrefillTokens);
		metrics.counter("skylark_crossed_answers_total", "Late or crossed answers dropped.", engines::crossedResponses);
		metrics.counter("skylark_cancels_abandoned_total", "Cancels that no engine confirmed in time.",
				canceller::abandonedCount);
		metrics.counter("skylark_claim_repairs_dropped_total", "Claims left to expire because the store was down.",
				claimWriteRetryQueue::dropped);
		metrics.counter("skylark_shutdown_refused_total",
				"Requests and retries refused because a shutdown left too little time.", shutdownAdmission::refused);
		metrics.counter("skylark_shutdown_ended_not_run_total", "Requests ended by a shutdown before they ran.",
				openRequests::endedNotRun);
		metrics.counter("skylark_shutdown_ended_may_have_run_total", "Requests ended by a shutdown that may have run.",
				openRequests::endedMayHaveRun);
		metrics.counter("skylark_lost_tickets_total", "Tickets in force here that the store has lost.",
				tickets::lostTickets);
		metrics.counter("skylark_lost_rate_slots_total", "Claims or renewals of the rate slot that the store has lost.",
				limiter::lostSlotClaims);
		metrics.counter("skylark_lost_claims_total", "Idempotency claims that the store has lost.", claims::lostClaims);
		metrics.counter("skylark_claims_taken_again_total",
				"Lost idempotency claims whose key another attempt has claimed.", claims::claimsTakenAgain);
		registerTransportCounters(transport);
	}

	private static long ageSeconds(KeyFreshness freshness, long nowNanos) {
		return freshness.evidence(nowNanos)
			.map(HeadEvidence::ageNanos)
			.map((age) -> age / NANOS_PER_SECOND)
			.orElse(-1L);
	}

	private void registerTransportCounters(TcpPeerTransport transport) {
		this.metrics.counter("skylark_peer_bytes_sent_total", "Bytes sent to peers.",
				() -> transport.counters().sentBytes());
		this.metrics.counter("skylark_peer_bytes_received_total", "Bytes received from peers.",
				() -> transport.counters().receivedBytes());
		this.metrics.counter("skylark_peer_messages_dropped_total", "Messages dropped because a link was full or down.",
				() -> transport.counters().droppedFull());
		this.metrics.counter("skylark_peer_frames_rejected_total", "Frames from unknown peers or with a wrong seal.",
				() -> transport.counters().rejectedFrames() + transport.counters().unknownPeers());
	}

	RouterMetrics metrics() {
		return this.metrics;
	}

}
