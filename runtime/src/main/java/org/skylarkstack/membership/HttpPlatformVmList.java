package org.skylarkstack.membership;

import java.io.IOException;
import java.time.Duration;
import java.util.List;

import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;
import org.skylarkstack.settings.PlatformSettings;
import org.skylarkstack.store.StoreException;
import org.skylarkstack.store.WriteEffect;

/**
 * Reads the platform's VM list over HTTP, as a JSON array of VM identifiers.
 */
public final class HttpPlatformVmList implements PlatformVmList {

	private final ObjectMapper mapper = new ObjectMapper();

	private final OkHttpClient client;

	private final Request request;

	/**
	 * Creates a reader.
	 * @param settings the URL of the list and the timeout
	 */
	public HttpPlatformVmList(PlatformSettings settings) {
		this.client = new OkHttpClient.Builder().callTimeout(Duration.ofMillis(settings.timeoutMillis())).build();
		this.request = new Request.Builder().url(settings.vmListUrl()).build();
	}

	@Override
	public List<String> read() {
		try (Response response = this.client.newCall(this.request).execute()) {
			if (!response.isSuccessful()) {
				throw new IOException("status %d".formatted(response.code()));
			}
			return List.copyOf(this.mapper.readValue(response.body().bytes(), new TypeReference<List<String>>() {
			}));
		}
		catch (IOException ex) {
			throw new StoreException(WriteEffect.NOT_APPLIED, "the list of VMs cannot be read", ex);
		}
	}

}
