package org.skylarkstack.configuration;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.skylarkstack.misc.Hashes;

/**
 * Encodes recorded tickets as JSON and decodes them. Unknown properties are ignored, so
 * that a daemon of an older version can still read the tickets of a newer version during
 * a rolling restart.
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
			// The message of the cause is omitted because it may contain a key hash.
			throw new IllegalStateException("a recorded ticket cannot be read at %s".formatted(ex.getLocation()), ex);
		}
	}

	String contentHash(Ticket ticket) {
		return Hashes.sha256(write(ticket));
	}

}
