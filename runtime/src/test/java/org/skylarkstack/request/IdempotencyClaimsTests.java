package org.skylarkstack.request;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.TableStore;

import static com.google.common.truth.Truth.assertThat;

/**
 * Guards against meal entries and bookings that run twice or are lost without an error.
 * Both can happen when a request is sent again, or when the reply to a write of a claim
 * is lost or late.
 */
class IdempotencyClaimsTests {

	private final FakeTime time = new FakeTime();

	private final FakeTableStore store = new FakeTableStore();

	private final ClaimWriteRetryQueue claimWriteRetryQueue = new ClaimWriteRetryQueue(this.store);

	private final IdempotencyClaims claims = new IdempotencyClaims(this.store, this.claimWriteRetryQueue, this.time);

	/** Claims of another VM, on the same store. */
	private final IdempotencyClaims elsewhere = new IdempotencyClaims(this.store, new ClaimWriteRetryQueue(this.store),
			this.time);

	private static Claim claim(String attempt) {
		return Claim.of("team", "key-1", "hash", attempt);
	}

	private RouterException refusal(IdempotencyClaims target, Claim claim) {
		return Exceptions.assertThrows(RouterException.class, () -> target.claim(claim));
	}

	@Test
	void reSendThroughAnotherVmGetsTheStoredResponse() {
		assertThat(this.claims.claim(claim("a1"))).isEqualTo(Optional.empty());
		this.claims.record(claim("a1"),
				new StoredResponse(201, "text/plain", "entry 7".getBytes(StandardCharsets.UTF_8)));
		StoredResponse stored = this.elsewhere.claim(claim("b1")).orElseThrow();
		assertThat(stored.status()).isEqualTo(201);
		assertThat(new String(stored.body(), StandardCharsets.UTF_8)).isEqualTo("entry 7");
	}

	@Test
	void claimOfADeadDaemonStaysAndReportsThatItMayHaveRun() {
		this.claims.claim(claim("a1"));
		RouterException refusal = refusal(this.elsewhere, claim("b1"));
		assertThat(refusal.type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
		assertThat(refusal.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

	@Test
	void requestWhoseResponseWasNotKeptIsNotRunAgain() {
		this.claims.claim(claim("a1"));
		this.claims.record(claim("a1"), null);
		assertThat(refusal(this.elsewhere, claim("b1")).type()).isEqualTo(ErrorType.ANSWER_NOT_KEPT);
	}

	@Test
	void keyWithAnotherBodyIsRefused() {
		this.claims.claim(claim("a1"));
		assertThat(refusal(this.claims, Claim.of("team", "key-1", "other", "a2")).type())
			.isEqualTo(ErrorType.CLAIM_MISMATCH);
	}

	@Test
	void teamsNeverShareClaims() {
		this.claims.claim(claim("a1"));
		assertThat(this.claims.claim(Claim.of("other", "key-1", "hash", "a2"))).isEqualTo(Optional.empty());
		assertThat(Claim.of("a", "bc", "hash", "x").sort()).isNotEqualTo(Claim.of("ab", "c", "hash", "x").sort());
	}

	@Test
	void lostReplyIsResolvedByARead() {
		this.store.losesNextReply = true;
		assertThat(this.claims.claim(claim("a1"))).isEqualTo(Optional.empty());
		assertThat(this.claimWriteRetryQueue.size()).isEqualTo(0);
	}

	@Test
	void claimWhoseReadFailsIsRefusedAndReleasedLater() {
		this.store.losesNextReply = true;
		this.store.readsFail = true;
		RouterException refusal = refusal(this.claims, claim("a1"));
		assertThat(refusal.type()).isEqualTo(ErrorType.CLAIM_UNAVAILABLE);
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
		assertThat(this.store.rows).hasSize(1);
		this.store.readsFail = false;
		this.claimWriteRetryQueue.step(this.time.nanos());
		assertThat(this.store.rows).isEmpty();
		assertThat(this.elsewhere.claim(claim("b1"))).isEqualTo(Optional.empty());
	}

	@Test
	void claimThatIsAppliedLateIsStillReleased() {
		this.store.delaysNextWrite = true;
		assertThat(refusal(this.claims, claim("a1")).type()).isEqualTo(ErrorType.CLAIM_UNAVAILABLE);
		this.claimWriteRetryQueue.step(this.time.nanos());
		this.store.applyDelayedWrites();
		assertThat(this.store.rows).hasSize(1);
		this.time.advanceMillis(1_000);
		this.claimWriteRetryQueue.step(this.time.nanos());
		assertThat(this.store.rows).isEmpty();
		this.time.advanceMillis(60_000);
		this.claimWriteRetryQueue.step(this.time.nanos());
		assertThat(this.claimWriteRetryQueue.size()).isEqualTo(0);
	}

	@Test
	void requestIsRefusedAsNotRunWhenTheStoreIsDown() {
		this.store.down = true;
		RouterException refusal = refusal(this.claims, claim("a1"));
		assertThat(refusal.verdict()).isEqualTo(Verdict.NOT_RUN);
	}

	@Test
	void outcomeIsRecordedAfterAnOutage() {
		this.claims.claim(claim("a1"));
		this.store.down = true;
		this.claims.record(claim("a1"), new StoredResponse(200, "", new byte[0]));
		this.claimWriteRetryQueue.step(this.time.nanos());
		this.store.down = false;
		this.claimWriteRetryQueue.step(this.time.nanos());
		assertThat(this.elsewhere.claim(claim("b1")).orElseThrow().status()).isEqualTo(200);
	}

	// Guards against replaying the status of a refusal that a service gave after a run.
	// Earlier builds have stored such responses.
	@Test
	void storedStatusOfARefusalIsNotReplayed() {
		this.claims.claim(claim("a1"));
		this.claims.record(claim("a1"), new StoredResponse(503, "", new byte[0]));
		assertThat(refusal(this.claims, claim("a2")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
		assertThat(refusal(this.elsewhere, claim("b1")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
	}

	@Test
	void lateOutcomeNeverOverwritesAnotherClaim() {
		this.claims.claim(claim("a1"));
		this.claims.release(claim("a1"));
		this.elsewhere.claim(claim("b1"));
		this.claims.record(claim("a1"), null);
		assertThat(refusal(this.claims, claim("a2")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
	}

	@Test
	void expiredClaimsAreTakenOverAndCleanedUpInSteps() {
		this.claims.claim(claim("a1"));
		this.time.advanceMillis(24 * 3_600_000L);
		assertThat(this.elsewhere.claim(claim("b1"))).isEqualTo(Optional.empty());
		this.time.advanceMillis(26 * 3_600_000L);
		Claim claim = claim("b1");
		TableStore table = this.store;
		ExpiredRowCleaner rows = new ExpiredRowCleaner(table, List.of("other", "empty", claim.partition()));
		assertThat(rows.step((partition) -> false, this.time.epochMillis())).isEqualTo(0);
		assertThat(rows.step((partition) -> !"other".equals(partition), this.time.epochMillis())).isEqualTo(0);
		assertThat(rows.step((partition) -> !"other".equals(partition), this.time.epochMillis())).isEqualTo(1);
		assertThat(this.store.rows).isEmpty();
	}

	private void restore(Map<String, Row> copy) {
		this.store.rows.clear();
		this.store.rows.putAll(copy);
	}

	@Test
	void reSendToTheSameVmIsNotRunAgainAfterTheStoreLostItsClaim() {
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.claim(claim("a1"));
		restore(copy);
		assertThat(refusal(this.claims, claim("a2")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
		this.claims.record(claim("a1"), new StoredResponse(201, "", new byte[0]));
		assertThat(this.claims.claim(claim("a3")).orElseThrow().status()).isEqualTo(201);
	}

	@Test
	void reSendToAnotherVmIsNotRunAgainAfterTheLostClaimWasWrittenAgain() {
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.claim(claim("a1"));
		restore(copy);
		this.claims.recover(this.time.nanos());
		assertThat(refusal(this.elsewhere, claim("b1")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
		assertThat(this.claims.lostClaims()).isEqualTo(1);
	}

	@Test
	void outcomeIsStoredAlthoughTheStoreLostTheClaim() {
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.claim(claim("a1"));
		restore(copy);
		this.claims.record(claim("a1"), new StoredResponse(201, "", new byte[0]));
		assertThat(this.elsewhere.claim(claim("b1")).orElseThrow().status()).isEqualTo(201);
	}

	@Test
	void outcomeThatTheStoreLostIsWrittenAgain() {
		this.claims.claim(claim("a1"));
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.record(claim("a1"), new StoredResponse(201, "", new byte[0]));
		restore(copy);
		this.claims.recover(this.time.nanos());
		assertThat(this.elsewhere.claim(claim("b1")).orElseThrow().status()).isEqualTo(201);
	}

	@Test
	void releasedClaimThatTheStoreBringsBackIsReleasedAgain() {
		this.claims.claim(claim("a1"));
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.release(claim("a1"));
		restore(copy);
		this.claims.recover(this.time.nanos());
		assertThat(this.elsewhere.claim(claim("b1"))).isEqualTo(Optional.empty());
	}

	@Test
	void allLostClaimsAreWrittenAgainAndNoOthersAreRead() {
		for (int number = 0; number < 20; number++) {
			this.claims.claim(Claim.of("team", "early-" + number, "hash", "e" + number));
			this.time.advanceMillis(100);
		}
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		for (int number = 0; number < 5; number++) {
			this.claims.claim(Claim.of("team", "late-" + number, "hash", "l" + number));
			this.time.advanceMillis(100);
		}
		restore(copy);
		this.claims.recover(this.time.nanos());
		assertThat(this.claims.lostClaims()).isEqualTo(5);
		assertThat(this.store.rows).hasSize(25);
		this.store.reads = 0;
		this.claims.recover(this.time.nanos());
		assertThat(this.store.reads).isEqualTo(1);
		assertThat(this.claims.lostClaims()).isEqualTo(5);
	}

	@Test
	void keyThatAnotherVmClaimedAfterTheRestoreIsReported() {
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.claim(claim("a1"));
		restore(copy);
		assertThat(this.elsewhere.claim(claim("b1"))).isEqualTo(Optional.empty());
		this.claims.recover(this.time.nanos());
		assertThat(this.claims.claimsTakenAgain()).isEqualTo(1);
		assertThat(refusal(this.claims, claim("a2")).type()).isEqualTo(ErrorType.CLAIM_IN_PROGRESS);
	}

	@Test
	void reSendToAnotherVmRightAfterARestoreIsNotRunAgain() {
		Map<String, Row> copy = Map.copyOf(this.store.rows);
		this.claims.claim(claim("a1"));
		restore(copy);
		assertThat(refusal(this.elsewhere, claim("b1")).verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
	}

}
