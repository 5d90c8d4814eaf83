package org.skylarkstack.misc;

import java.nio.charset.StandardCharsets;
import java.util.Collection;

import com.google.common.hash.Hashing;
import org.jspecify.annotations.Nullable;

/**
 * Hash functions shared by several packages.
 */
public final class Hashes {

	private Hashes() {
	}

	/**
	 * Returns the SHA-256 hash of a text as lower-case hexadecimal.
	 * @param text the text, hashed as UTF-8
	 * @return 64 hexadecimal digits
	 */
	public static String sha256(String text) {
		return Hashing.sha256().hashString(text, StandardCharsets.UTF_8).toString();
	}

	/**
	 * Returns the SHA-256 hash of bytes as lower-case hexadecimal.
	 * @param bytes the bytes to hash
	 * @return 64 hexadecimal digits
	 */
	public static String sha256(byte[] bytes) {
		return Hashing.sha256().hashBytes(bytes).toString();
	}

	/**
	 * Returns a stable 64-bit hash of a text. The hash is not cryptographic.
	 * @param text the text, hashed as UTF-8
	 * @return the hash
	 */
	public static long stable64(String text) {
		return Hashing.murmur3_128().hashString(text, StandardCharsets.UTF_8).asLong();
	}

	/**
	 * Selects the candidate with the highest score for a key by rendezvous hashing.
	 * Removing a candidate reassigns only the keys that were assigned to it.
	 * @param key the key to assign
	 * @param candidates the candidate names
	 * @return the selected candidate, or {@code null} if there are no candidates
	 */
	public static @Nullable String rendezvous(String key, Collection<String> candidates) {
		String best = null;
		long bestScore = Long.MIN_VALUE;
		for (String candidate : candidates) {
			long score = stable64(candidate + '\n' + key);
			if (best == null || score > bestScore || (score == bestScore && candidate.compareTo(best) < 0)) {
				best = candidate;
				bestScore = score;
			}
		}
		return best;
	}

}
