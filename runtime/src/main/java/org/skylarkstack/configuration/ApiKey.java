package org.skylarkstack.configuration;

/**
 * API key of a team. Only the hash of the key is stored.
 *
 * @param id the identifier shown to operators
 * @param keyHash the SHA-256 hash of the key in lower-case hexadecimal
 * @param teamId the identifier of the team that the key belongs to
 */
public record ApiKey(String id, String keyHash, String teamId) implements ConfigurationObject {

	private static final int SHA256_HEX_DIGITS = 64;

	/** Checks the length of the hash. */
	public ApiKey {
		if (keyHash.length() != SHA256_HEX_DIGITS) {
			throw new IllegalArgumentException("keyHash of key %s must be a SHA-256 hash in hexadecimal".formatted(id));
		}
	}

	@Override
	public ObjectKind objectKind() {
		return ObjectKind.KEY;
	}

}
