package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Highest applied numbers reported by each VM, and when this daemon reached each number.
 * VMs stay listed while they are silent, so that a data centre that is cut off shows up.
 */
public final class ConfirmationTable {

	/** Times kept; older tickets show no waiting time. */
	private static final int KEPT_TIMES = 4_096;

	private final Map<String, Report> reports = new ConcurrentSkipListMap<>();

	private final ConcurrentSkipListMap<Long, Long> reachedNanos = new ConcurrentSkipListMap<>();

	/**
	 * Lists VMs that have not reported yet.
	 * @param vmIds the VMs
	 */
	public void expect(Collection<String> vmIds) {
		vmIds.forEach((vmId) -> this.reports.putIfAbsent(vmId, new Report(0, null)));
	}

	void report(String vmId, long number, long nowNanos) {
		// A restarted daemon reports a lower number until it has loaded the state.
		this.reports.put(vmId, new Report(number, nowNanos));
	}

	void forget(String vmId) {
		this.reports.remove(vmId);
	}

	void reached(long number, long nowNanos) {
		this.reachedNanos.putIfAbsent(number, nowNanos);
		if (this.reachedNanos.size() > KEPT_TIMES) {
			this.reachedNanos.pollFirstEntry();
		}
	}

	/**
	 * Returns where a ticket is in force.
	 * @param number the ticket
	 * @param nowNanos the present time
	 * @return the status
	 */
	public TicketStatus status(long number, long nowNanos) {
		List<String> inForce = new ArrayList<>();
		List<TicketStatus.Unconfirmed> waiting = new ArrayList<>();
		Map.Entry<Long, Long> reached = this.reachedNanos.ceilingEntry(number);
		Long waited = (reached != null) ? secondsSince(reached.getValue(), nowNanos) : null;
		this.reports.forEach((vmId, report) -> {
			if (report.number >= number) {
				inForce.add(vmId);
			}
			else {
				waiting.add(new TicketStatus.Unconfirmed(vmId, report.number, waited,
						secondsSince(report.nanos, nowNanos)));
			}
		});
		return new TicketStatus(number, inForce, waiting);
	}

	private static @Nullable Long secondsSince(@Nullable Long nanos, long nowNanos) {
		return (nanos != null) ? (Long) TimeUnit.NANOSECONDS.toSeconds(Math.max(0, nowNanos - nanos)) : null;
	}

	private record Report(long number, @Nullable Long nanos) {

	}

}
