package org.skylarkstack.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Records and reads configuration tickets.
 */
public interface TicketService {

	/**
	 * Validates and records a ticket. Submitting the same ticket again has no further
	 * effect and returns the same result.
	 * @param draft the ticket as submitted by the operator
	 * @return the recorded ticket
	 * @throws org.skylarkstack.kernel.RouterException if the ticket is invalid, its
	 * number is taken or not the next one, the store does not respond, or it is unknown
	 * whether the ticket was recorded
	 */
	Ticket submit(TicketDraft draft);

	/**
	 * Finds a recorded ticket.
	 * @param number the number
	 * @return the ticket, if it is recorded
	 * @throws org.skylarkstack.kernel.RouterException if the store does not respond
	 */
	Optional<Ticket> find(long number);

	/**
	 * Returns recorded tickets in ascending order.
	 * @param afterNumber the number after which the tickets start
	 * @param limit the maximum number of tickets
	 * @return the tickets; may be fewer than the limit even if more are recorded
	 * @throws org.skylarkstack.kernel.RouterException if the store does not respond
	 */
	List<Ticket> history(long afterNumber, int limit);

	/**
	 * Returns the hash of the number, author and changes of a ticket.
	 * @param ticket the ticket
	 * @return the SHA-256 hash in hexadecimal
	 */
	String contentHash(Ticket ticket);

}
