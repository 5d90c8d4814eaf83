package org.skylarkstack.http;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.Hashes;

/**
 * Finds the team of a caller from its key.
 */
public final class Authenticator {

	private static final String BEARER = "Bearer ";

	private final ConfigurationHolder configuration;

	/**
	 * Creates an authenticator.
	 * @param configuration the configuration in force
	 */
	public Authenticator(ConfigurationHolder configuration) {
		this.configuration = configuration;
	}

	/**
	 * Returns the hash of the caller's key.
	 * @param authorization the Authorization header, if any
	 * @return the hash
	 * @throws RouterException with {@link ErrorType#UNAUTHENTICATED} if there is no key
	 */
	public String keyHash(@Nullable String authorization) {
		if (authorization == null || !authorization.startsWith(BEARER)) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
		return Hashes.sha256(authorization.substring(BEARER.length()).trim());
	}

	/**
	 * Returns the team that a key speaks for now.
	 * @param keyHash the hash of the key
	 * @return the team
	 * @throws RouterException with {@link ErrorType#UNAUTHENTICATED} if the key is
	 * unknown or withdrawn
	 */
	public Team team(String keyHash) {
		return this.configuration.current()
			.teamOfKey(keyHash)
			.orElseThrow(() -> new RouterException(ErrorType.UNAUTHENTICATED));
	}

}
