package org.skylarkstack.engine;

import java.io.IOException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import okhttp3.Call;
import okhttp3.Response;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Reads a stream of server-sent events from an engine. A stream that ends without the end
 * marker is treated as truncated. Events of other requests are dropped and counted. The
 * idle timeout applies to the time spent waiting for the next new token, so that
 * comments, partial lines and repeated events do not extend it, and a caller that reads
 * slowly does not use it up.
 */
final class ServerSentEventStream implements DecodeStream {

	private static final String END_MARKER = "[DONE]";

	private static final String DATA = "data:";

	private static final String ID = "id:";

	// An event contains one token; the limit prevents a faulty engine from filling the
	// heap.
	private static final long MAX_LINE_BYTES = 256 * 1024;

	private final EngineCall engineCall;

	private final String engineId;

	private final Call call;

	private final Response response;

	private final BufferedSource source;

	private final EventMatcher matcher;

	private final Cancellation.Registration cancellation;

	private final AtomicLong crossed;

	private final int tokenIdleMillis;

	private final Runnable onIdleTimeout;

	private int idleTimeoutMillis;

	private long remainingNanos;

	private int lastOffset;

	ServerSentEventStream(String engineId, EngineCall engineCall, Call call, Response response,
			int firstTokenIdleMillis, int tokenIdleMillis, AtomicLong crossed, Runnable onIdleTimeout) {
		this.engineId = engineId;
		this.engineCall = engineCall;
		this.call = call;
		this.response = response;
		this.source = response.body().source();
		this.matcher = new EventMatcher(engineCall.requestId());
		this.crossed = crossed;
		this.idleTimeoutMillis = firstTokenIdleMillis;
		this.remainingNanos = TimeUnit.MILLISECONDS.toNanos(firstTokenIdleMillis);
		this.tokenIdleMillis = tokenIdleMillis;
		this.onIdleTimeout = onIdleTimeout;
		this.cancellation = engineCall.cancellation().onCancel(call::cancel);
	}

	@Override
	public @Nullable DecodeEvent next() {
		long startNanos = System.nanoTime();
		try {
			this.source.timeout().deadline(Math.max(1, this.remainingNanos), TimeUnit.NANOSECONDS);
			DecodeEvent event = readEvent();
			this.remainingNanos -= System.nanoTime() - startNanos;
			if (event != null && event.tokenOffset() > this.lastOffset) {
				this.lastOffset = event.tokenOffset();
				this.idleTimeoutMillis = this.tokenIdleMillis;
				this.remainingNanos = TimeUnit.MILLISECONDS.toNanos(this.tokenIdleMillis);
			}
			return event;
		}
		catch (IOException ex) {
			this.engineCall.cancellation().check(Verdict.MAY_HAVE_RUN);
			RouterException failure = HttpEngineClient.failureAfterSend(this.engineId, this.idleTimeoutMillis, ex);
			if (failure.type() == ErrorType.BACKEND_TIMEOUT) {
				this.onIdleTimeout.run();
			}
			throw failure;
		}
	}

	private @Nullable DecodeEvent readEvent() throws IOException {
		int offset = 0;
		while (true) {
			String line = readLine();
			if (line.startsWith(ID)) {
				offset = parseOffset(line.substring(ID.length()).trim());
			}
			else if (line.startsWith(DATA)) {
				String data = line.substring(DATA.length()).trim();
				if (END_MARKER.equals(data)) {
					return null;
				}
				if (EventMatcher.isError(data)) {
					throw engineFailure("it sent an error event");
				}
				if (this.matcher.matches(data)) {
					return new DecodeEvent(offset, this.matcher.removeAttempt(data));
				}
				this.crossed.incrementAndGet();
				offset = 0;
			}
		}
	}

	private String readLine() throws IOException {
		if (!this.source.request(1)) {
			throw new java.io.EOFException("the stream ended without its end marker");
		}
		return this.source.readUtf8LineStrict(MAX_LINE_BYTES);
	}

	private int parseOffset(String text) {
		try {
			return Integer.parseInt(text);
		}
		catch (NumberFormatException ex) {
			throw engineFailure("the event id %s is not a token offset".formatted(text));
		}
	}

	private RouterException engineFailure(String what) {
		return RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, null, this.engineId, what);
	}

	@Override
	public void close() {
		this.cancellation.close();
		this.call.cancel();
		this.response.close();
	}

}
