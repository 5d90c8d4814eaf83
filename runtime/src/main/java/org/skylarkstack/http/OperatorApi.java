package org.skylarkstack.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketService;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;

/**
 * API for operators: change tickets.
 */
public final class OperatorApi {

	private final ObjectMapper mapper = new ObjectMapper();

	private final Authenticator authenticator;

	private final TicketService tickets;

	private final ConfigurationHolder configuration;

	private final String operatorKeyHash;

	/**
	 * Creates the API.
	 * @param authenticator hashes keys
	 * @param tickets accepts tickets
	 * @param configuration the configuration in force
	 * @param operatorKeyHash the hash of the operators' key
	 */
	public OperatorApi(Authenticator authenticator, TicketService tickets, ConfigurationHolder configuration,
			String operatorKeyHash) {
		this.authenticator = authenticator;
		this.tickets = tickets;
		this.configuration = configuration;
		this.operatorKeyHash = operatorKeyHash;
	}

	/**
	 * Adds the routes to a server.
	 * @param config the server's configuration
	 */
	public void register(JavalinConfig config) {
		config.routes.post("/operator/v1/tickets", this::submit);
		config.routes.get("/operator/v1/configuration", this::configuration);
		config.routes.exception(RouterException.class, (failure, context) -> ErrorAnswer.write(context, failure));
	}

	private void submit(Context context) {
		checkOperator(context);
		Ticket ticket;
		try {
			ticket = this.mapper.readValue(context.bodyAsBytes(), Ticket.class);
		}
		catch (JsonProcessingException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, ex.getOriginalMessage());
		}
		catch (java.io.IOException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, "the body could not be read");
		}
		this.tickets.submit(ticket);
		context.status(201).json(java.util.Map.of("number", ticket.number(), "state", "recorded"));
	}

	private void configuration(Context context) {
		checkOperator(context);
		context.json(java.util.Map.of("appliedNumber", this.configuration.current().appliedNumber()));
	}

	private void checkOperator(Context context) {
		byte[] given = this.authenticator.keyHash(context.header("Authorization")).getBytes(StandardCharsets.UTF_8);
		if (!MessageDigest.isEqual(given, this.operatorKeyHash.getBytes(StandardCharsets.UTF_8))) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
	}

}
