package org.skylarkstack.configuration;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * VMs that have and have not acknowledged a ticket, according to the reports that this
 * daemon has received.
 *
 * @param number the number of the ticket
 * @param inForceOn the VMs that have acknowledged it
 * @param notConfirmed the VMs that have not acknowledged it
 */
public record TicketStatus(long number, List<String> inForceOn, List<Unconfirmed> notConfirmed) {

	/** Copies the lists. */
	public TicketStatus {
		inForceOn = List.copyOf(inForceOn);
		notConfirmed = List.copyOf(notConfirmed);
	}

	/**
	 * VM that has not acknowledged a ticket.
	 *
	 * @param vmId the identifier of the VM
	 * @param appliedNumber the applied number that it reported last, or 0 if there was no
	 * report
	 * @param waitedSeconds the seconds since this daemon applied the ticket, or
	 * {@code null} if it has not recorded that time, as for a ticket applied before its
	 * start
	 * @param silentSeconds the seconds since the VM's last report, or {@code null} if
	 * there was none
	 */
	public record Unconfirmed(String vmId, long appliedNumber, @Nullable Long waitedSeconds,
			@Nullable Long silentSeconds) {

	}

}
