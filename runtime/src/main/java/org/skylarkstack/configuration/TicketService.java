package org.skylarkstack.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Accepts and shows change tickets.
 */
public interface TicketService {

	/**
	 * Validates and records a ticket. Recording the same ticket again has no further
	 * effect and gives the same answer.
	 * @param draft the ticket as the operator wrote it
	 * @return the recorded ticket
	 * @throws org.skylarkstack.kernel.RouterException if the ticket is refused,
	 * conflicts, or its effect is unknown
	 */
	Ticket submit(TicketDraft draft);

	/**
	 * Finds a recorded ticket.
	 * @param number the number
	 * @return the ticket, if it is recorded
	 * @throws org.skylarkstack.kernel.RouterException if the store does not answer
	 */
	Optional<Ticket> find(long number);

	/**
	 * Returns recorded tickets in order.
	 * @param afterNumber only later tickets are returned
	 * @param limit the largest number of tickets
	 * @return the tickets; fewer than the limit even if there are more
	 * @throws org.skylarkstack.kernel.RouterException if the store does not answer
	 */
	List<Ticket> history(long afterNumber, int limit);

	/**
	 * Returns the hash over the number, author and changes of a ticket.
	 * @param ticket the ticket
	 * @return the SHA-256 hash in hexadecimal
	 */
	String contentHash(Ticket ticket);

}
