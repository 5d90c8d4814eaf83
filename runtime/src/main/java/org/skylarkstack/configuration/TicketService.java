package org.skylarkstack.configuration;

/**
 * Accepts change tickets.
 */
public interface TicketService {

	/**
	 * Validates and records a ticket. Recording the same ticket again has no further
	 * effect.
	 * @param ticket the ticket
	 * @throws org.skylarkstack.kernel.RouterException if the ticket is refused,
	 * conflicts, or its effect is unknown
	 */
	void submit(Ticket ticket);

}
