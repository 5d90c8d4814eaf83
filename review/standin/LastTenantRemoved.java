package org.skylarkstack.platform;

import java.net.InetSocketAddress;
import java.util.Set;

/**
 * The operator takes the keys of two tenants away, one tenant after the other. A caller
 * that still holds the keys sends requests long after each confirmation.
 */
final class LastTenantRemoved {

	// A little more than revokeMs.
	private static final long WAIT_MILLIS = 6_000;

	private LastTenantRemoved() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, LastTenantRemoved::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		String first = ReviewFleet.tenant("team-1", "key-1");
		String second = ReviewFleet.tenant("team-2", "key-2");
		fleet.configureTenants(KeyChecks.ROUTES, KeyChecks.SERVICES, first + "," + second);
		KeyChecks checks = new KeyChecks(fleet);
		checks.announce(1);
		InetSocketAddress callers = fleet.startDaemon("vm-1", fleet.store().address());
		checks.send(callers, "before-1", "key-1");
		checks.send(callers, "before-2", "key-2");
		if (!checks.ran().containsAll(Set.of("before-1", "before-2"))) {
			throw new IllegalStateException("the first requests did not run");
		}
		fleet.configureTenants(KeyChecks.ROUTES, KeyChecks.SERVICES, second);
		Thread.sleep(WAIT_MILLIS);
		checks.send(callers, "withdrawn-1", "key-1");
		checks.send(callers, "granted-2", "key-2");
		fleet.configureTenants(KeyChecks.ROUTES, KeyChecks.SERVICES, trouble ? "" : second);
		Thread.sleep(WAIT_MILLIS);
		checks.send(callers, trouble ? "withdrawn-2" : "granted-2", "key-2");
		checks.send(callers, "withdrawn-3", "key-1");
		checks.send(callers, "unknown", "key-that-no-configuration-held");
		return checks.ran().stream().noneMatch((id) -> id.startsWith("withdrawn") || id.equals("unknown"));
	}

}
