package org.skylarkstack.request;

import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.response.RefusalStatus;
import org.skylarkstack.store.Row;
import org.skylarkstack.store.RowCondition;
import org.skylarkstack.store.RowWrite;

/**
 * Converts claims to rows of the platform's table and back.
 */
final class ClaimRow {

	private static final String ATTEMPT = "attempt";

	private static final String REQUEST = "request";

	private static final String STATE = "state";

	private static final String OPEN = "open";

	private static final String RAN = "ran";

	private static final String ANSWERED = "answered";

	private static final String STATUS = "status";

	private static final String CONTENT_TYPE = "contentType";

	private static final String BODY = "body";

	private ClaimRow() {
	}

	static Row open(Claim claim, long expiresMillis) {
		return new Row(claim.partition(), claim.sort(), commonAttributes(claim, OPEN, expiresMillis));
	}

	static Row outcome(Claim claim, @Nullable StoredResponse response, long expiresMillis) {
		Map<String, String> attributes = commonAttributes(claim, (response != null) ? ANSWERED : RAN, expiresMillis);
		if (response != null) {
			attributes.put(STATUS, Integer.toString(response.status()));
			attributes.put(CONTENT_TYPE, response.contentType());
			attributes.put(BODY, Base64.getEncoder().encodeToString(response.body()));
		}
		return new Row(claim.partition(), claim.sort(), attributes);
	}

	static RowWrite release(Claim claim) {
		return release(claim.partition(), claim.sort(), claim.attemptId());
	}

	static RowWrite release(String partition, String sort, String attemptId) {
		return RowWrite.delete(new Row(partition, sort, Map.of()), ownedBy(attemptId));
	}

	static boolean isOpen(Row row) {
		return OPEN.equals(row.attributes().getOrDefault(STATE, OPEN));
	}

	private static Map<String, String> commonAttributes(Claim claim, String state, long expiresMillis) {
		Map<String, String> attributes = new HashMap<>();
		attributes.put(ATTEMPT, claim.attemptId());
		attributes.put(REQUEST, claim.requestHash());
		attributes.put(STATE, state);
		attributes.put(ExpiredRowCleaner.EXPIRES, Long.toString(expiresMillis));
		return attributes;
	}

	static RowCondition ownedBy(String attemptId) {
		return RowCondition.attributeEquals(ATTEMPT, attemptId);
	}

	static String attemptId(Row row) {
		return row.attributes().getOrDefault(ATTEMPT, "");
	}

	// Returns the response that another attempt has stored. Throws RouterException if the
	// request differs, is still in progress, or its response was not kept.
	static Optional<StoredResponse> response(Row row, Claim claim) {
		Map<String, String> attributes = row.attributes();
		if (!claim.requestHash().equals(attributes.get(REQUEST))) {
			throw new RouterException(ErrorType.CLAIM_MISMATCH);
		}
		return switch (attributes.getOrDefault(STATE, OPEN)) {
			case ANSWERED -> Optional.of(storedResponse(attributes));
			case RAN -> throw new RouterException(ErrorType.ANSWER_NOT_KEPT);
			default -> throw new RouterException(ErrorType.CLAIM_IN_PROGRESS);
		};
	}

	// Earlier builds have stored statuses of refusals, which do not show whether the
	// request ran.
	private static StoredResponse storedResponse(Map<String, String> attributes) {
		int status = Integer.parseInt(attributes.getOrDefault(STATUS, "200"));
		if (RefusalStatus.matches(status)) {
			throw new RouterException(ErrorType.CLAIM_IN_PROGRESS);
		}
		return new StoredResponse(status, attributes.getOrDefault(CONTENT_TYPE, ""),
				Base64.getDecoder().decode(attributes.getOrDefault(BODY, "")));
	}

}
