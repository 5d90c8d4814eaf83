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
 * Caller and operator of a local fleet.
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
	 * @param fleet the fleet
	 */
	public FleetClient(LocalFleet fleet) {
		this.fleet = fleet;
	}

	/**
	 * Submits a ticket.
	 * @param vmId the VM to ask
	 * @param ticket the ticket
	 * @return the answer
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
	 * @param timeout the longest wait
	 * @return the time waited in milliseconds, or -1 if the timeout passed
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
	 * Returns a chat completion request.
	 * @param vmId the VM to ask
	 * @param key the caller's key
	 * @param model the model
	 * @param prompt the prompt
	 * @param maxTokens the output bound in tokens
	 * @return the request
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
	 * Returns a request to a plain service.
	 * @param vmId the VM to ask
	 * @param key the caller's key, or {@code null} on an open route
	 * @param path the path
	 * @param body the body of a POST, or {@code null} for a GET
	 * @param idempotencyKey the idempotency key, or {@code null} for none
	 * @return the request
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
	 * Sends a request and reads its whole answer.
	 * @param request the request
	 * @return the answer; status 0 if the connection broke
	 */
	public FleetResponse send(Request request) {
		return execute(request, (source) -> source.readUtf8());
	}

	/**
	 * Sends a request and repeats it while it is refused as not run for want of tokens.
	 * Buckets of a new fleet start empty, and slices move to their owners.
	 * @param request the request
	 * @return the first answer that is no such refusal, or the last one
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
	 * Sends a request, acts once the first line of its answer has arrived, and reads the
	 * rest.
	 * @param request the request
	 * @param action what to do
	 * @return the answer; status 0 if the connection broke
	 */
	public FleetResponse sendAndThen(Request request, Runnable action) {
		return execute(request, (source) -> {
			String firstLine = source.readUtf8LineStrict();
			action.run();
			return firstLine + "\n" + source.readUtf8();
		});
	}

	/**
	 * Sends a request and closes the connection after the first line of its answer.
	 * @param request the request
	 * @return the answer as far as it was read; status 0 if the connection broke
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
	 * Reads as much of an answer as is wanted.
	 */
	private interface BodyReader {

		String read(BufferedSource source) throws IOException;

	}

}
