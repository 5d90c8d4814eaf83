package org.skylarkstack.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Where a ticket is in force, as far as this daemon knows.
 *
 * @param number the ticket
 * @param inForceOn the VMs that confirmed it
 * @param notConfirmed the VMs that did not
 */
public record TicketStatus(long number, List<String> inForceOn, List<Unconfirmed> notConfirmed) {

	/** Copies the lists. */
	public TicketStatus {
		inForceOn = List.copyOf(inForceOn);
		notConfirmed = List.copyOf(notConfirmed);
	}

	/**
	 * VM that has not confirmed a ticket.
	 *
	 * @param vmId the VM
	 * @param appliedNumber the last number that it reported, or 0
	 * @param waitedSeconds the time since this daemon learned the ticket, or {@code null}
	 * if that was before its start
	 * @param silentSeconds the time since the VM's last report, or {@code null} if there
	 * was none
	 */
	public record Unconfirmed(String vmId, long appliedNumber, @Nullable Long waitedSeconds,
			@Nullable Long silentSeconds) {

	}

}
