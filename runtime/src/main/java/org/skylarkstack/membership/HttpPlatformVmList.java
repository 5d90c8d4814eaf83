package org.skylarkstack.membership;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

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

	private static final long MAX_BYTES = 1024 * 1024;

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
			if (response.body().source().request(MAX_BYTES + 1)) {
				throw new IOException("the list is larger than %d bytes".formatted(MAX_BYTES));
			}
			List<String> vmIds = this.mapper.readValue(response.body().bytes(), new TypeReference<List<String>>() {
			});
			if (vmIds == null || vmIds.stream().anyMatch(Objects::isNull)) {
				throw new IOException("the list contains null");
			}
			return List.copyOf(vmIds);
		}
		catch (IOException ex) {
			throw new StoreException(WriteEffect.NOT_APPLIED, "the list of VMs cannot be read", ex);
		}
	}

}
