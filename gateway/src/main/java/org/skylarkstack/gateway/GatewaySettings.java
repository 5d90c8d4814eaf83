package org.skylarkstack.gateway;

import org.skylarkstack.coldness.ColdBounds;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Settings of a gateway daemon.
 *
 * @param vmId the name of the VM that the daemon runs on
 * @param dataCentre the data centre of the VM
 * @param firstStart whether the whole fleet starts for the first time, in which case the
 * limits of teams start full rather than empty
 * @param revocationMillis the time after which a withdrawn key must not work, in
 * milliseconds
 * @param retryRatio the number of retries to a service as a share of its requests in a
 * window
 * @param retryFixed the number of retries to a service that all daemons together may send
 * in a window beyond that share
 * @param retryWindowSeconds the length of the window for both, in seconds
 * @param limitWindowSeconds the window over which limits are evaluated, in seconds
 * @param limitTolerance the amount by which a team may exceed its limit, as a share of it
 * @param limitSlack the amount by which a team may exceed its limit, in units (tokens or
 * requests, see {@link TeamPolicy})
 * @param shutdownSeconds the time between the request to stop the daemon and its kill, in
 * seconds
 * @param coldBounds bounds the requests that cold servers receive
 * @param secondAttemptShare the number of second attempts (hedged requests) to a service
 * as a share of its requests in a window of the retries, 0 for none
 */
public record GatewaySettings(String vmId, String dataCentre, boolean firstStart, long revocationMillis,
		double retryRatio, double retryFixed, double retryWindowSeconds, double limitWindowSeconds,
		double limitTolerance, double limitSlack, double shutdownSeconds, ColdBounds coldBounds,
		double secondAttemptShare) {

	/** Share of second attempts unless the operators set one. */
	public static final double DEFAULT_SECOND_ATTEMPT_SHARE = 0;

	/**
	 * Creates settings and validates them.
	 * @throws RouterException with {@link ErrorType#SETTINGS_INVALID} naming every
	 * invalid value
	 */
	public GatewaySettings {
		java.util.List<String> errors = new java.util.ArrayList<>();
		if (vmId.isBlank()) {
			errors.add("vmId is empty");
		}
		if (dataCentre.isBlank()) {
			errors.add("dataCentre is empty");
		}
		positive(errors, "revocationMillis", revocationMillis);
		positive(errors, "retryWindowSeconds", retryWindowSeconds);
		positive(errors, "limitWindowSeconds", limitWindowSeconds);
		positive(errors, "shutdownSeconds", shutdownSeconds);
		if (retryRatio < 0 || retryFixed < 0 || limitTolerance < 0 || limitSlack < 0) {
			errors.add("retryRatio, retryFixed, limitTolerance and limitSlack must not be negative");
		}
		if (!(secondAttemptShare >= 0 && secondAttemptShare <= 1)) {
			errors.add("secondAttemptShare is %s, but must be from 0 to 1".formatted(secondAttemptShare));
		}
		if (!errors.isEmpty()) {
			throw new RouterException(ErrorType.SETTINGS_INVALID, String.join("; ", errors));
		}
	}

	/**
	 * Creates settings with the defaults of the optional ones.
	 * @param vmId the name of the VM that the daemon runs on
	 * @param dataCentre the data centre of the VM
	 * @param firstStart whether the whole fleet starts for the first time
	 * @param revocationMillis the time after which a withdrawn key must not work, in
	 * milliseconds
	 * @param retryRatio the number of retries as a share of the requests in a window
	 * @param retryFixed the number of retries of all daemons beyond that share
	 * @param retryWindowSeconds the length of the window for both, in seconds
	 * @param limitWindowSeconds the window over which limits are evaluated, in seconds
	 * @param limitTolerance the amount by which a team may exceed its limit, as a share
	 * @param limitSlack the amount by which a team may exceed its limit, in units
	 * @param shutdownSeconds the time between the request to stop and the kill, in
	 * seconds
	 */
	public GatewaySettings(String vmId, String dataCentre, boolean firstStart, long revocationMillis, double retryRatio,
			double retryFixed, double retryWindowSeconds, double limitWindowSeconds, double limitTolerance,
			double limitSlack, double shutdownSeconds) {
		this(vmId, dataCentre, firstStart, revocationMillis, retryRatio, retryFixed, retryWindowSeconds,
				limitWindowSeconds, limitTolerance, limitSlack, shutdownSeconds, ColdBounds.DEFAULT,
				DEFAULT_SECOND_ATTEMPT_SHARE);
	}

	private static void positive(java.util.List<String> errors, String name, double value) {
		if (!(value > 0)) {
			errors.add("%s is %s, but must be above 0".formatted(name, value));
		}
	}

}
