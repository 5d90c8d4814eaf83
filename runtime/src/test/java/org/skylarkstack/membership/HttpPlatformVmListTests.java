package org.skylarkstack.membership;

import java.util.List;

import mockwebserver3.MockResponse;
import mockwebserver3.MockWebServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.settings.PlatformSettings;
import org.skylarkstack.store.StoreException;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link HttpPlatformVmList} with responses that are no list.
 */
class HttpPlatformVmListTests {

	private final MockWebServer server = new MockWebServer();

	@BeforeEach
	void start() throws Exception {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.close();
	}

	private List<String> read(String body) {
		this.server.enqueue(new MockResponse.Builder().body(body).build());
		String url = "http://127.0.0.1:" + this.server.getPort();
		return new HttpPlatformVmList(
				new PlatformSettings(url, url, url, "region", "key", "secret", "table", "bucket", 2_000))
			.read();
	}

	/**
	 * Guards against an exception that the caller does not expect, which ends the thread
	 * that reads the list.
	 */
	@Test
	void aResponseThatIsNoListIsAFailedRead() {
		for (String body : List.of("", "null", "[null]", "[\"vm-1\",null]", "{}", "[[\"vm-1\"]]", "[".repeat(100_000),
				"[\"" + "x".repeat(2_000_000) + "\"]")) {
			Exceptions.assertThrows(StoreException.class, () -> read(body));
		}
		assertThat(read("[\"vm-1\"]")).containsExactly("vm-1");
	}

}
