package org.skylarkstack.http;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.Hashes;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.text.HeaderText;

/**
 * Authenticates callers by their API key and finds their team.
 */
public final class Authenticator {

	private static final String BEARER = "Bearer ";

	private final ConfigurationHolder configuration;

	private final KeyFreshness freshness;

	private final TimeSource time;

	/**
	 * Creates an authenticator.
	 * @param configuration holds the current configuration
	 * @param freshness checks the age of the key state
	 * @param time the time source
	 */
	public Authenticator(ConfigurationHolder configuration, KeyFreshness freshness, TimeSource time) {
		this.configuration = configuration;
		this.freshness = freshness;
		this.time = time;
	}

	/**
	 * Returns the hash of the caller's API key.
	 * @param authorization the Authorization header, if any
	 * @return the SHA-256 hash as lower-case hexadecimal
	 * @throws RouterException with {@link ErrorType#UNAUTHENTICATED} if there is no key
	 */
	public String keyHash(@Nullable String authorization) {
		String key = key(authorization);
		if (key.isEmpty()) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
		return Hashes.sha256(HeaderText.decode(key));
	}

	/**
	 * Returns the caller's API key as received, with one character for each byte. It must
	 * not reach backend servers.
	 * @param authorization the Authorization header, if any
	 * @return the key, or an empty string if there is none
	 */
	static String key(@Nullable String authorization) {
		boolean bearer = authorization != null && authorization.regionMatches(true, 0, BEARER, 0, BEARER.length());
		return (bearer && authorization != null) ? authorization.substring(BEARER.length()).trim() : "";
	}

	/**
	 * Returns the team that owns a key in the current configuration.
	 * @param keyHash the hash of the key
	 * @return the team
	 * @throws RouterException with {@link ErrorType#UNAUTHENTICATED} if the key is
	 * unknown or withdrawn, or with {@link ErrorType#STALE_KEY_STATE} if the key state is
	 * older than the team's limit
	 */
	public Team team(String keyHash) {
		Team team = this.configuration.current()
			.teamOfKey(keyHash)
			.orElseThrow(() -> new RouterException(ErrorType.UNAUTHENTICATED));
		this.freshness.check(team, this.time.nanos());
		return team;
	}

}
