package org.skylarkstack.engine;

import java.io.IOException;

import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Reads a stream of server-sent events from an engine. A stream that ends without the end
 * marker is truncated.
 */
final class ServerSentEventStream implements DecodeStream {

	private static final String END_MARKER = "[DONE]";

	private static final String DATA = "data: ";

	private static final String ID = "id: ";

	private final String engineId;

	private final Call call;

	private final Response response;

	private final BufferedSource source;

	ServerSentEventStream(String engineId, Call call, Response response) {
		this.engineId = engineId;
		this.call = call;
		this.response = response;
		this.source = response.body().source();
	}

	@Override
	public @Nullable DecodeEvent next() {
		try {
			return readEvent();
		}
		catch (IOException ex) {
			throw EngineFailures.translate(this.engineId, ex);
		}
	}

	private @Nullable DecodeEvent readEvent() throws IOException {
		int offset = 0;
		while (true) {
			String line = this.source.readUtf8Line();
			if (line == null) {
				throw RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, this.engineId,
						"the stream ended without its end marker");
			}
			if (line.startsWith(ID)) {
				offset = Integer.parseInt(line.substring(ID.length()).trim());
			}
			else if (line.startsWith(DATA)) {
				String data = line.substring(DATA.length());
				return END_MARKER.equals(data) ? null : new DecodeEvent(offset, data);
			}
		}
	}

	@Override
	public void close() {
		this.call.cancel();
		this.response.close();
	}

}
