package org.skylarkstack.gateway;

import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * Settings of a gateway daemon.
 *
 * @param vmId the name of the VM
 * @param dataCentre its data centre
 * @param firstStart whether the whole fleet starts for the first time
 * @param revocationMillis the time after which a withdrawn key must not work, in
 * milliseconds
 * @param retryRatio the share of a service's requests that may be repeated
 * @param retryFixed the repeats of all daemons beyond that share
 * @param retryWindowSeconds the window of both, in seconds
 * @param limitWindowSeconds the window in which limits are judged, in seconds
 * @param limitTolerance what a team may exceed its limit by, as a share of it
 * @param limitSlack what a team may exceed its limit by, in units
 * @param shutdownSeconds the time between the request to stop and the kill, in seconds
 */
public record GatewaySettings(String vmId, String dataCentre, boolean firstStart, long revocationMillis,
		double retryRatio, double retryFixed, double retryWindowSeconds, double limitWindowSeconds,
		double limitTolerance, double limitSlack, double shutdownSeconds) {

	/**
	 * Creates settings.
	 * @throws RouterException with {@link ErrorType#SETTINGS_INVALID} naming every fault
	 */
	public GatewaySettings {
		java.util.List<String> faults = new java.util.ArrayList<>();
		if (vmId.isBlank()) {
			faults.add("vmId is empty");
		}
		if (dataCentre.isBlank()) {
			faults.add("dataCentre is empty");
		}
		positive(faults, "revocationMillis", revocationMillis);
		positive(faults, "retryWindowSeconds", retryWindowSeconds);
		positive(faults, "limitWindowSeconds", limitWindowSeconds);
		positive(faults, "shutdownSeconds", shutdownSeconds);
		if (retryRatio < 0 || retryFixed < 0 || limitTolerance < 0 || limitSlack < 0) {
			faults.add("retryRatio, retryFixed, limitTolerance and limitSlack must not be negative");
		}
		if (!faults.isEmpty()) {
			throw new RouterException(ErrorType.SETTINGS_INVALID, String.join("; ", faults));
		}
	}

	private static void positive(java.util.List<String> faults, String name, double value) {
		if (!(value > 0)) {
			faults.add("%s is %s, but must be above 0".formatted(name, value));
		}
	}

}
