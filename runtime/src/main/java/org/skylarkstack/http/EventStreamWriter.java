package org.skylarkstack.http;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

import io.javalin.http.Context;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.request.AnswerSink;
import org.skylarkstack.request.CallerGoneException;

/**
 * Writes an answer as server-sent events. The headers are sent with the first event, so a
 * request that fails earlier still gets an error status.
 */
final class EventStreamWriter implements AnswerSink {

	private static final byte[] DATA = "data: ".getBytes(StandardCharsets.UTF_8);

	private static final byte[] END_OF_EVENT = "\n\n".getBytes(StandardCharsets.UTF_8);

	private static final String END_MARKER = "[DONE]";

	private final Context context;

	private boolean started;

	EventStreamWriter(Context context) {
		this.context = context;
	}

	boolean started() {
		return this.started;
	}

	@Override
	public void event(String data) {
		try {
			if (!this.started) {
				this.started = true;
				this.context.status(200).contentType("text/event-stream").header("Cache-Control", "no-cache");
			}
			OutputStream output = this.context.outputStream();
			output.write(DATA);
			output.write(data.getBytes(StandardCharsets.UTF_8));
			output.write(END_OF_EVENT);
			output.flush();
		}
		catch (IOException ex) {
			throw new CallerGoneException(ex);
		}
	}

	void finish() {
		event(END_MARKER);
	}

	/**
	 * Ends the stream with an error event and without the end marker.
	 * @param failure the error
	 */
	void fail(RouterException failure) {
		event(ErrorAnswer.json(failure).toString());
	}

}
