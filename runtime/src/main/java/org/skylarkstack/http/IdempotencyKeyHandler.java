package org.skylarkstack.http;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.request.Claim;
import org.skylarkstack.request.ClaimedRun;
import org.skylarkstack.request.IdempotencyClaims;
import org.skylarkstack.request.RequestIds;
import org.skylarkstack.request.StoredResponse;

/**
 * Claims non-idempotent requests that carry an {@code Idempotency-Key} before they are
 * sent to a backend server, and replays the stored response when a caller retries one.
 */
public final class IdempotencyKeyHandler {

	static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	static final String NON_IDEMPOTENT = "X-Skylark-Non-Idempotent";

	private static final int SERVER_ERROR = 500;

	private final IdempotencyClaims claims;

	private final RequestIds ids;

	/**
	 * Creates a handler.
	 * @param claims stores claims and responses
	 * @param ids generates the ids of attempts
	 */
	public IdempotencyKeyHandler(IdempotencyClaims claims, RequestIds ids) {
		this.claims = claims;
		this.ids = ids;
	}

	static boolean marksNonIdempotent(Context context) {
		return "true".equalsIgnoreCase(context.header(NON_IDEMPOTENT));
	}

	/**
	 * Claims a request that is not idempotent and has a key; other requests need no
	 * claim. If a response is stored for the claim, it is written to the caller.
	 * @param context the request and response of the caller
	 * @param teamId the team id, which scopes the key
	 * @param idempotent whether the request may run more than once
	 * @param body the request body
	 * @return the result of the claim
	 */
	ClaimResult claim(Context context, String teamId, boolean idempotent, byte[] body) {
		String key = context.header(IDEMPOTENCY_KEY);
		if (idempotent || key == null) {
			return new ClaimResult(null, false);
		}
		String target = context.method() + " " + context.req().getRequestURI() + "?" + context.queryString();
		String hash = Hashes.sha256(Hashes.sha256(target.getBytes(StandardCharsets.UTF_8)) + Hashes.sha256(body));
		Claim claim = Claim.of(teamId, key, hash, this.ids.next());
		Optional<StoredResponse> stored = this.claims.claim(claim);
		if (stored.isPresent()) {
			replay(context, stored.get());
			return new ClaimResult(null, true);
		}
		return new ClaimResult(new ClaimedRun(this.claims, claim), false);
	}

	private static void replay(Context context, StoredResponse response) {
		context.status(response.status()).header(ErrorResponse.VERDICT, verdict(response.status()).headerValue());
		if (!response.contentType().isEmpty()) {
			context.contentType(response.contentType());
		}
		context.result(response.body());
	}

	// Derives the verdict from the status of a plain service. After a server error (5xx)
	// it is unknown whether the request took effect.
	static Verdict verdict(int status) {
		return (status < SERVER_ERROR) ? Verdict.RAN : Verdict.MAY_HAVE_RUN;
	}

	/**
	 * Result of a claim.
	 *
	 * @param run records the outcome, or {@code null} if the request is not claimed or
	 * its stored response was replayed
	 * @param replayed whether the stored response was written to the caller
	 */
	record ClaimResult(@Nullable ClaimedRun run, boolean replayed) {

	}

}
