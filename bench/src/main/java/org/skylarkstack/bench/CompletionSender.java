package org.skylarkstack.bench;

import java.io.IOException;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends completion requests either through a daemon or to the engines directly.
 */
final class CompletionSender implements AutoCloseable {

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final int READ_TIMEOUT_SECONDS = 15;

	private static final String PATH = "/v1/chat/completions";

	private final ObjectMapper mapper = new ObjectMapper();

	private final AtomicLong sequence = new AtomicLong();

	private final Queue<Call> calls = new ConcurrentLinkedQueue<>();

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.connectionPool(new ConnectionPool(512, 30, TimeUnit.SECONDS))
		.readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS)
		.build();

	/**
	 * Sends a request through a daemon.
	 * @param daemonUrl the base URL of the daemon
	 * @param key the caller's API key
	 * @param body the request body
	 * @return the response with an open stream
	 * @throws IOException if the connection fails or the status is not 200
	 */
	Response sendRouted(String daemonUrl, String key, ObjectNode body) throws IOException {
		return open(new Request.Builder().url(daemonUrl + PATH)
			.header("Authorization", "Bearer " + key)
			.post(RequestBody.create(body.toString(), JSON))
			.build());
	}

	/**
	 * Sends a request to a prefill and a decode engine.
	 * @param prefillUrl the base URL of the prefill engine
	 * @param decodeUrl the base URL of the decode engine
	 * @param body the request body
	 * @return the response with an open stream
	 * @throws IOException if the connection fails or the status is not 200
	 */
	Response sendDirect(String prefillUrl, String decodeUrl, ObjectNode body) throws IOException {
		String id = "direct." + this.sequence.incrementAndGet();
		ObjectNode prefill = body.deepCopy().put("stream", false).put("max_tokens", 1);
		prefill.putObject("kv_transfer_params").put("do_remote_decode", true);
		ObjectNode decode = body.deepCopy();
		try (Response response = open(engineRequest(prefillUrl, id, prefill))) {
			JsonNode prefillResponse = this.mapper.readTree(response.body().byteStream());
			decode.set("kv_transfer_params", prefillResponse.path("kv_transfer_params"));
		}
		return open(engineRequest(decodeUrl, id, decode));
	}

	private static Request engineRequest(String url, String id, ObjectNode body) {
		return new Request.Builder().url(url + PATH)
			.header("X-Request-Id", id)
			.header("X-Request-Owner", "bench.direct")
			.post(RequestBody.create(body.toString(), JSON))
			.build();
	}

	private Response open(Request request) throws IOException {
		Call call = this.client.newCall(request);
		this.calls.add(call);
		Response response = call.execute();
		if (response.code() != 200) {
			response.close();
			throw new IOException("status " + response.code());
		}
		return response;
	}

	/**
	 * Cancels all calls, because closing a response would first read the rest of its
	 * stream for 100 ms.
	 */
	@Override
	public void close() {
		this.calls.forEach(Call::cancel);
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

}
