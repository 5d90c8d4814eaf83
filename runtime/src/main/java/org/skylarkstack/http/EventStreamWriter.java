package org.skylarkstack.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import io.javalin.http.Context;
import jakarta.servlet.http.HttpServletResponse;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.request.CallerDisconnectedException;
import org.skylarkstack.request.ResponseSink;
import org.skylarkstack.request.StoredResponse;

/**
 * Writes a response as server-sent events. The headers are sent with the first event, so
 * that a request that fails earlier still gets an error status.
 */
final class EventStreamWriter implements ResponseSink {

	static final String CONTENT_TYPE = "text/event-stream";

	private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] END_OF_EVENT = "\n\n".getBytes(StandardCharsets.UTF_8);

	private static final String END_MARKER = "[DONE]";

	private static final int OK = 200;

	private final Context context;

	private @Nullable ByteArrayOutputStream replayBuffer;

	private boolean started;

	/**
	 * Creates a writer.
	 * @param context the request and response of the caller
	 * @param keepForReplay whether to keep the response for replay to a retry
	 */
	EventStreamWriter(Context context, boolean keepForReplay) {
		this.context = context;
		this.replayBuffer = keepForReplay ? new ByteArrayOutputStream() : null;
	}

	boolean started() {
		return this.started;
	}

	@Override
	public void event(String data) {
		byte[] bytes = data.getBytes(StandardCharsets.UTF_8);
		appendToReplayBuffer(bytes);
		try {
			if (!this.started) {
				this.started = true;
				HttpServletResponse response = this.context.res();
				response.setStatus(OK);
				response.setContentType(CONTENT_TYPE);
				response.setHeader("Cache-Control", "no-cache");
				response.setHeader(ErrorResponse.VERDICT, Verdict.RAN.headerValue());
			}
			OutputStream output = this.context.res().getOutputStream();
			output.write(DATA);
			output.write(bytes);
			output.write(END_OF_EVENT);
			output.flush();
		}
		catch (IOException ex) {
			throw new CallerDisconnectedException(ex);
		}
	}

	private void appendToReplayBuffer(byte[] bytes) {
		ByteArrayOutputStream buffer = this.replayBuffer;
		if (buffer == null) {
			return;
		}
		if (buffer.size() + bytes.length + DATA.length + END_OF_EVENT.length > StoredResponse.MAX_BODY_BYTES) {
			this.replayBuffer = null;
			return;
		}
		buffer.writeBytes(DATA);
		buffer.writeBytes(bytes);
		buffer.writeBytes(END_OF_EVENT);
	}

	void finish() {
		event(END_MARKER);
	}

	/**
	 * Returns the complete stream for replay to a retry.
	 * @return the stream including its end marker, or {@code null} if it is not kept or
	 * is larger than {@link StoredResponse#MAX_BODY_BYTES}
	 */
	@Nullable StoredResponse replayableResponse() {
		ByteArrayOutputStream buffer = this.replayBuffer;
		if (buffer == null) {
			return null;
		}
		ByteArrayOutputStream complete = new ByteArrayOutputStream();
		complete.writeBytes(buffer.toByteArray());
		complete.writeBytes(DATA);
		complete.writeBytes(END_MARKER.getBytes(StandardCharsets.UTF_8));
		complete.writeBytes(END_OF_EVENT);
		return new StoredResponse(OK, CONTENT_TYPE, complete.toByteArray());
	}

	/**
	 * Ends the stream with an error event and without the end marker.
	 * @param failure the error
	 */
	void fail(RouterException failure) {
		event(ErrorResponse.json(failure).toString());
	}

}
