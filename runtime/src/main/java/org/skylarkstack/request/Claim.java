package org.skylarkstack.request;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.Hashes;

/**
 * Claim of an idempotency key by one attempt.
 *
 * @param partition the partition key of its row
 * @param sort the sort key of its row
 * @param requestHash the hash of method, path, query and body
 * @param attemptId the id of the attempt, unique for each arrival of the request
 */
public record Claim(String partition, String sort, String requestHash, String attemptId) {

	/** Number of partitions over which claims are spread. */
	public static final int PARTITIONS = 256;

	private static final int MAX_KEY_CHARACTERS = 255;

	/**
	 * Creates a claim. The team is part of the row's key, so that equal idempotency keys
	 * of two teams never share a row.
	 * @param teamId the id of the team
	 * @param idempotencyKey the caller's key, 1 to 255 characters
	 * @param requestHash the hash of method, path, query and body
	 * @param attemptId the id of the attempt, unique for each arrival of the request
	 * @return the claim
	 */
	public static Claim of(String teamId, String idempotencyKey, String requestHash, String attemptId) {
		if (idempotencyKey.isBlank() || idempotencyKey.length() > MAX_KEY_CHARACTERS) {
			throw new RouterException(ErrorType.BAD_REQUEST,
					"Idempotency-Key must have 1 to %d characters".formatted(MAX_KEY_CHARACTERS));
		}
		String hash = Hashes.sha256(Hashes.sha256(teamId) + idempotencyKey);
		return new Claim(partition(Integer.parseInt(hash.substring(0, 2), 16)), hash, requestHash, attemptId);
	}

	/**
	 * Returns the partition key for a partition number.
	 * @param number the number, from 0 to {@link #PARTITIONS} - 1
	 * @return the partition key
	 */
	public static String partition(int number) {
		return "claim-%02x".formatted(number);
	}

}
