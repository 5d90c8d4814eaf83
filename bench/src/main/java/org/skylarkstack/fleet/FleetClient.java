package org.skylarkstack.fleet;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Ticket;

/**
 * HTTP client for the caller and operator APIs of a local fleet.
 */
public final class FleetClient {

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final long POLL_MILLIS = 25;

	private static final int MAX_RATE_LIMITED_ATTEMPTS = 400;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final ObjectMapper mapper = new ObjectMapper();

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.readTimeout(Duration.ofSeconds(30))
		.build();

	private final LocalFleet fleet;

	/**
	 * Creates a client.
	 * @param fleet the fleet, which the caller closes
	 */
	public FleetClient(LocalFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Submits a ticket through the operator API.
	 * @param vmId the VM that receives the ticket
	 * @param ticket the ticket
	 * @return the response; status 0 if the connection failed
	 */
	public FleetResponse submit(String vmId, Ticket ticket) {
		try {
			return send(new Request.Builder().url(this.fleet.operatorUrl(vmId) + "/operator/v1/tickets")
				.header("Authorization", "Bearer " + LocalFleet.OPERATOR_KEY)
				.post(RequestBody.create(this.mapper.writeValueAsString(ticket), JSON))
				.build());
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Waits until all running daemons are ready.
	 * @param timeout the maximum time to wait
	 * @return the time waited in milliseconds, or -1 after a timeout
	 */
	public long awaitReady(Duration timeout) {
		long started = System.nanoTime();
		while (System.nanoTime() - started < timeout.toNanos()) {
			if (this.fleet.vmIds().stream().allMatch(this::isReady)) {
				return (System.nanoTime() - started) / NANOS_PER_MILLI;
			}
			pause();
		}
		return -1;
	}

	private boolean isReady(String vmId) {
		return send(new Request.Builder().url(this.fleet.callerUrl(vmId) + "/readyz").build()).status() == 200;
	}

	private static void pause() {
		try {
			Thread.sleep(POLL_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	/**
	 * Builds a streamed chat completion request.
	 * @param vmId the VM that receives the request
	 * @param key the API key of the caller
	 * @param model the requested model
	 * @param prompt the content of the user message
	 * @param maxTokens the maximum number of output tokens
	 * @return the request, which has not been sent
	 */
	public Request chat(String vmId, String key, String model, String prompt, int maxTokens) {
		String body = this.mapper.createObjectNode()
			.put("model", model)
			.put("stream", true)
			.put("max_tokens", maxTokens)
			.set("messages",
					this.mapper.createArrayNode()
						.add(this.mapper.createObjectNode().put("role", "user").put("content", prompt)))
			.toString();
		return new Request.Builder().url(this.fleet.callerUrl(vmId) + "/v1/chat/completions")
			.header("Authorization", "Bearer " + key)
			.post(RequestBody.create(body, JSON))
			.build();
	}

	/**
	 * Builds a request to a plain service.
	 * @param vmId the VM that receives the request
	 * @param key the API key of the caller, or {@code null} on an open route
	 * @param path the path on the VM, with a leading slash
	 * @param body the JSON body of a POST request, or {@code null} for a GET request
	 * @param idempotencyKey the idempotency key, or {@code null} for none
	 * @return the request, which has not been sent
	 */
	public Request service(String vmId, @Nullable String key, String path, @Nullable String body,
			@Nullable String idempotencyKey) {
		Request.Builder request = new Request.Builder().url(this.fleet.callerUrl(vmId) + path);
		if (key != null) {
			request.header("Authorization", "Bearer " + key);
		}
		if (idempotencyKey != null) {
			request.header("Idempotency-Key", idempotencyKey);
		}
		return ((body != null) ? request.post(RequestBody.create(body, JSON)) : request).build();
	}

	/**
	 * Sends a request and reads the complete response.
	 * @param request the request
	 * @return the response; status 0 if the connection failed
	 */
	public FleetResponse send(Request request) {
		return execute(request, (source) -> source.readUtf8());
	}

	/**
	 * Sends a request and repeats it while the team's rate limit rejects it as not run.
	 * The token buckets of a new fleet start empty, and bucket slices still move to their
	 * owners.
	 * @param request the request
	 * @return the first response that is not rate limited, or the last response if all
	 * attempts are rate limited
	 */
	public FleetResponse sendWithRateLimitRetries(Request request) {
		FleetResponse response = send(request);
		for (int attempts = 1; response.isRateLimited() && attempts < MAX_RATE_LIMITED_ATTEMPTS; attempts++) {
			pause();
			response = send(request);
		}
		return response;
	}

	/**
	 * Sends a request, runs an action after the first line of the response body, and
	 * reads the rest of the body.
	 * @param request the request
	 * @param action the action to run once, on the calling thread
	 * @return the response; status 0 if the connection failed
	 */
	public FleetResponse sendAndThen(Request request, Runnable action) {
		return execute(request, (source) -> {
			String firstLine = source.readUtf8LineStrict();
			action.run();
			return firstLine + "\n" + source.readUtf8();
		});
	}

	/**
	 * Sends a request and closes the connection after the first line of the response
	 * body.
	 * @param request the request
	 * @return the response with the part of the body that was read; status 0 if the
	 * connection failed
	 */
	public FleetResponse sendAndCancel(Request request) {
		return execute(request, (source) -> source.readUtf8LineStrict());
	}

	private FleetResponse execute(Request request, BodyReader reader) {
		try (Response response = this.client.newCall(request).execute()) {
			return new FleetResponse(response.code(),
					Objects.requireNonNullElse(response.header("X-Skylark-Verdict"), ""),
					reader.read(response.body().source()));
		}
		catch (IOException ex) {
			return new FleetResponse(0, "", String.valueOf(ex.getMessage()));
		}
	}

	/**
	 * Reads all or part of a response body.
	 */
	private interface BodyReader {

		String read(BufferedSource source) throws IOException;

	}

}
