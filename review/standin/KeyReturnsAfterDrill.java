package org.skylarkstack.platform;

import java.net.InetSocketAddress;
import java.util.Set;

/**
 * A key is withdrawn. Some seconds later the store returns from an older copy, in which
 * the key still holds, and both daemons are killed and start again, one after the other.
 * The second one starts while the first one already knows that a newer configuration
 * exists.
 */
final class KeyReturnsAfterDrill {

	// More than revokeMs.
	private static final long BEFORE_DRILL_MILLIS = 6_500;

	private static final long AWAY_MILLIS = 2_000;

	private static final long BETWEEN_KILLS_MILLIS = 400;

	// Time from the return of the store until the operator has written again.
	private static final long REWRITE_MILLIS = 3_000;

	private KeyReturnsAfterDrill() {
	}

	public static void main(String[] arguments) {
		ReviewFleet.main(arguments, KeyReturnsAfterDrill::run);
	}

	private static boolean run(ReviewFleet fleet, boolean trouble) throws Exception {
		String first = ReviewFleet.tenant("team-1", "key-1");
		String second = ReviewFleet.tenant("team-2", "key-2");
		fleet.configureTenants(KeyChecks.ROUTES, KeyChecks.SERVICES, first + "," + second);
		KeyChecks checks = new KeyChecks(fleet);
		checks.announce(1);
		StoreStandIn store = fleet.store();
		InetSocketAddress callers1 = fleet.startDaemon("vm-1", store.address());
		InetSocketAddress callers2 = fleet.startDaemon("vm-2", store.address());
		Thread.sleep(2_500);
		checks.send(callers1, "before-1", "key-1");
		checks.send(callers2, "before-2", "key-1");
		if (!checks.ran().containsAll(Set.of("before-1", "before-2"))) {
			throw new IllegalStateException("the first requests did not run");
		}
		StoreStandIn.Copy copy = store.copy();
		fleet.note("a copy of the store is made");
		fleet.configureTenants(KeyChecks.ROUTES, KeyChecks.SERVICES, second);
		Thread.sleep(BEFORE_DRILL_MILLIS);
		checks.send(callers1, "withdrawn-1", "key-1");
		checks.send(callers2, "withdrawn-2", "key-1");
		if (trouble) {
			store.setUnavailable(true);
			fleet.note("drill: the store is away");
		}
		fleet.killDaemon("vm-2");
		fleet.restartDaemon("vm-2", store.address());
		Thread.sleep(AWAY_MILLIS);
		if (trouble) {
			store.restore(copy);
			store.setUnavailable(false);
			fleet.note("drill: the store is back from its copy");
		}
		long returnNanos = System.nanoTime();
		// Both daemons have read the store again by then, and each other's reports.
		Thread.sleep(BETWEEN_KILLS_MILLIS);
		fleet.killDaemon("vm-1");
		fleet.restartDaemon("vm-1", store.address());
		int number = 3;
		while (System.nanoTime() - returnNanos < REWRITE_MILLIS * 1_000_000) {
			checks.send(callers1, "withdrawn-" + number++, "key-1");
			checks.send(callers2, "withdrawn-" + number++, "key-1");
			Thread.sleep(100);
		}
		if (trouble) {
			checks.announce(9);
			fleet.rewriteConfiguration(KeyChecks.ROUTES, KeyChecks.SERVICES, second);
		}
		Thread.sleep(2_000);
		checks.send(callers1, "withdrawn-" + number++, "key-1");
		checks.send(callers1, "granted", "key-2");
		return checks.ran().stream().noneMatch((id) -> id.startsWith("withdrawn"));
	}

}
