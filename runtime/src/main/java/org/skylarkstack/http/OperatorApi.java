package org.skylarkstack.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.AcknowledgementTable;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.HeadEvidence;
import org.skylarkstack.configuration.KeyFreshness;
import org.skylarkstack.configuration.Ticket;
import org.skylarkstack.configuration.TicketReader;
import org.skylarkstack.configuration.TicketService;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.misc.TimeSource;

/**
 * HTTP API for operators: submits and shows change tickets, and shows the current
 * configuration.
 */
public final class OperatorApi {

	private static final int MAX_HISTORY = 100;

	private static final double NANOS_PER_SECOND = 1e9;

	private final TicketReader reader = new TicketReader();

	private final TicketView view = new TicketView();

	private final Authenticator authenticator;

	private final TicketService tickets;

	private final ConfigurationHolder configuration;

	private final AcknowledgementTable acknowledgements;

	private final KeyFreshness freshness;

	private final TimeSource time;

	private final String operatorKeyHash;

	/**
	 * Creates the API.
	 * @param authenticator hashes the operators' key
	 * @param tickets records and finds tickets
	 * @param configuration holds the current configuration
	 * @param acknowledgements the applied ticket numbers that the VMs have reported
	 * @param freshness the age of the key state
	 * @param time the time source
	 * @param operatorKeyHash the SHA-256 hash of the operators' key in hexadecimal
	 */
	public OperatorApi(Authenticator authenticator, TicketService tickets, ConfigurationHolder configuration,
			AcknowledgementTable acknowledgements, KeyFreshness freshness, TimeSource time, String operatorKeyHash) {
		this.authenticator = authenticator;
		this.tickets = tickets;
		this.configuration = configuration;
		this.acknowledgements = acknowledgements;
		this.freshness = freshness;
		this.time = time;
		this.operatorKeyHash = operatorKeyHash;
	}

	/**
	 * Adds the routes to a server.
	 * @param config the server's configuration
	 */
	public void register(JavalinConfig config) {
		config.routes.post("/operator/v1/tickets", this::submit);
		config.routes.get("/operator/v1/tickets", this::history);
		config.routes.get("/operator/v1/tickets/{number}", this::show);
		config.routes.get("/operator/v1/configuration", this::configuration);
		config.routes.exception(RouterException.class, (failure, context) -> ErrorResponse.write(context, failure));
	}

	private void submit(Context context) {
		checkOperator(context);
		Ticket recorded = this.tickets.submit(this.reader.read(context.bodyAsBytes()));
		respond(context, 201,
				JsonNodeFactory.instance.objectNode()
					.put("number", recorded.number())
					.put("state", "recorded")
					.put("contentHash", this.tickets.contentHash(recorded)));
	}

	private void show(Context context) {
		checkOperator(context);
		long number = number("number", context.pathParam("number"), 0);
		Ticket ticket = this.tickets.find(number).orElseThrow(() -> new RouterException(ErrorType.NO_TICKET, number));
		respond(context, 200, this.view.ticket(ticket, this.tickets.contentHash(ticket),
				this.acknowledgements.status(number, this.time.nanos())));
	}

	private void history(Context context) {
		checkOperator(context);
		long after = number("after", context.queryParam("after"), 0);
		long limit = number("limit", context.queryParam("limit"), MAX_HISTORY);
		ObjectNode response = JsonNodeFactory.instance.objectNode();
		ArrayNode list = response.putArray("tickets");
		if (limit > 0) {
			this.tickets.history(after, (int) Math.min(limit, MAX_HISTORY))
				.forEach((ticket) -> list.add(this.view.ticket(ticket, this.tickets.contentHash(ticket))));
		}
		respond(context, 200, response);
	}

	private static long number(String name, @Nullable String text, long defaultValue) {
		if (text == null) {
			return defaultValue;
		}
		try {
			return Math.max(0, Long.parseLong(text));
		}
		catch (NumberFormatException ex) {
			throw new RouterException(ErrorType.BAD_REQUEST, name + " is not a number");
		}
	}

	private void configuration(Context context) {
		checkOperator(context);
		long now = this.time.nanos();
		ObjectNode summary = this.view.summary(this.configuration.current());
		this.freshness.evidence(now)
			.map(HeadEvidence::ageNanos)
			.ifPresentOrElse((age) -> summary.put("stateAgeSeconds", age / NANOS_PER_SECOND),
					() -> summary.putNull("stateAgeSeconds"));
		respond(context, 200, summary);
	}

	private static void respond(Context context, int status, JsonNode response) {
		context.status(status).contentType("application/json").result(response.toString());
	}

	private void checkOperator(Context context) {
		byte[] given = this.authenticator.keyHash(context.header("Authorization")).getBytes(StandardCharsets.UTF_8);
		if (!MessageDigest.isEqual(given, this.operatorKeyHash.getBytes(StandardCharsets.UTF_8))) {
			throw new RouterException(ErrorType.UNAUTHENTICATED);
		}
	}

}
