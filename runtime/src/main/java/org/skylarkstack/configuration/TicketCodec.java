package org.skylarkstack.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.skylarkstack.misc.Hashes;

/**
 * JSON form of recorded tickets. Unknown properties are ignored, so that a daemon of an
 * older version still reads the tickets of a newer one during a rolling restart.
 */
final class TicketCodec {

	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	String write(Ticket ticket) {
		try {
			return this.mapper.writeValueAsString(ticket);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("ticket %d cannot be written".formatted(ticket.number()), ex);
		}
	}

	Ticket read(String body) {
		try {
			return this.mapper.readValue(body, Ticket.class);
		}
		catch (JsonProcessingException ex) {
			// The original message is left out: it may quote a key hash.
			throw new IllegalStateException("a recorded ticket cannot be read at %s".formatted(ex.getLocation()), ex);
		}
	}

	String contentHash(Ticket ticket) {
		return Hashes.sha256(write(ticket));
	}

}
