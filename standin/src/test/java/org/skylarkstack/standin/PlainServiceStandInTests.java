package org.skylarkstack.standin;

import java.io.IOException;
import java.time.Duration;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link PlainServiceStandIn}.
 */
class PlainServiceStandInTests {

	private final PlainServiceStandIn service = new PlainServiceStandIn(0);

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.readTimeout(Duration.ofSeconds(30))
		.build();

	/** For calls that get no response. */
	private final OkHttpClient shortTimeoutClient = this.client.newBuilder()
		.readTimeout(Duration.ofMillis(300))
		.build();

	@AfterEach
	void stop() {
		this.service.close();
	}

	private int book(String body) {
		return book(this.client, body);
	}

	private int book(OkHttpClient caller, String body) {
		Request request = new Request.Builder().url(this.service.url() + "/bookings")
			.header("X-Caller", "c1")
			.post(RequestBody.create(body, null))
			.build();
		try (Response response = caller.newCall(request).execute()) {
			return response.code();
		}
		catch (IOException ex) {
			return 0;
		}
	}

	/**
	 * Guards against injected faults that record a wrong effect, which would hide
	 * requests that ran twice.
	 */
	@Test
	void recordsEffectsUnderFaults() throws InterruptedException {
		assertThat(book("a")).isEqualTo(201);
		this.service.inject(PlainServiceFault.DROP_AFTER_EFFECT, 1);
		assertThat(book("b")).isEqualTo(0);
		this.service.inject(PlainServiceFault.DROP_BEFORE_EFFECT, 1);
		assertThat(book("c")).isEqualTo(0);
		this.service.inject(PlainServiceFault.SILENT, 1);
		assertThat(book(this.shortTimeoutClient, "d")).isEqualTo(0);
		for (int attempt = 0; attempt < 500 && this.service.requests().size() < 4; attempt++) {
			Thread.sleep(20);
		}
		this.service.inject(PlainServiceFault.SILENT_AFTER_EFFECT, 1);
		assertThat(book(this.shortTimeoutClient, "e")).isEqualTo(0);
		// The service may process the last call only after the caller timed out.
		for (int attempt = 0; attempt < 500 && this.service.effects().size() < 3; attempt++) {
			Thread.sleep(20);
		}
		this.service.inject(PlainServiceFault.UNAVAILABLE, 1);
		assertThat(book("f")).isEqualTo(503);
		assertThat(this.service.effects().stream().map(RecordedRequest::body).toList()).containsExactly("a", "b", "e")
			.inOrder();
		assertThat(this.service.requests()).hasSize(6);
		assertThat(this.service.requests().get(0).headers()).containsEntry("x-caller", "c1");
	}

}
