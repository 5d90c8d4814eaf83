package org.skylarkstack.configuration;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Tracks which VMs have acknowledged each ticket: the applied number that each VM last
 * reported, and the time at which this daemon applied each number. VMs that have stopped
 * reporting stay listed, so that a disconnected data centre remains visible.
 */
public final class AcknowledgementTable {

	/**
	 * Maximum number of application times kept; for older tickets the waiting time counts
	 * from the oldest time kept.
	 */
	private static final int MAX_APPLIED_TIMES = 4_096;

	private final Map<String, Report> reports = new ConcurrentSkipListMap<>();

	private final ConcurrentSkipListMap<Long, Long> appliedNanosByNumber = new ConcurrentSkipListMap<>();

	/**
	 * Adds VMs that have not reported yet, with applied number 0.
	 * @param vmIds the VMs
	 */
	public void addVms(Collection<String> vmIds) {
		vmIds.forEach((vmId) -> this.reports.putIfAbsent(vmId, new Report(0, null)));
	}

	void report(String vmId, long number, long nowNanos) {
		// The reported number may decrease: a restarted daemon reports a lower number
		// until it has loaded the configuration.
		this.reports.put(vmId, new Report(number, nowNanos));
	}

	void remove(String vmId) {
		this.reports.remove(vmId);
	}

	void recordApplied(long number, long nowNanos) {
		this.appliedNanosByNumber.putIfAbsent(number, nowNanos);
		if (this.appliedNanosByNumber.size() > MAX_APPLIED_TIMES) {
			this.appliedNanosByNumber.pollFirstEntry();
		}
	}

	/**
	 * Returns which VMs have acknowledged a ticket and which have not.
	 * @param number the number of the ticket
	 * @param nowNanos the current monotonic time in nanoseconds
	 * @return the status
	 */
	public TicketStatus status(long number, long nowNanos) {
		List<String> inForce = new ArrayList<>();
		List<TicketStatus.Unconfirmed> notConfirmed = new ArrayList<>();
		Map.Entry<Long, Long> firstApplied = this.appliedNanosByNumber.ceilingEntry(number);
		Long waitedSeconds = (firstApplied != null) ? secondsSince(firstApplied.getValue(), nowNanos) : null;
		this.reports.forEach((vmId, report) -> {
			if (report.number >= number) {
				inForce.add(vmId);
			}
			else {
				notConfirmed.add(new TicketStatus.Unconfirmed(vmId, report.number, waitedSeconds,
						secondsSince(report.nanos, nowNanos)));
			}
		});
		return new TicketStatus(number, inForce, notConfirmed);
	}

	private static @Nullable Long secondsSince(@Nullable Long nanos, long nowNanos) {
		return (nanos != null) ? (Long) TimeUnit.NANOSECONDS.toSeconds(Math.max(0, nowNanos - nanos)) : null;
	}

	private record Report(long number, @Nullable Long nanos) {

	}

}
