package org.skylarkstack.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;

import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.OpenRequests;
import org.skylarkstack.settings.CallerLimits;

/**
 * Reads request bodies and enforces the size limit and the receive timeout. The timeout
 * starts when reading starts and is checked after each read; a single read blocks at most
 * for the connector's idle timeout, which has the same value.
 */
final class BodyReader {

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final CallerLimits limits;

	private final TimeSource time;

	BodyReader(CallerLimits limits, TimeSource time) {
		this.limits = limits;
		this.time = time;
	}

	/**
	 * Reads a body.
	 * @param input the stream of the body
	 * @param contentLength the announced length in bytes, or -1 if it is unknown
	 * @param slot reserves the memory of the body, and interrupts the calling thread to
	 * end the request
	 * @return the body
	 * @throws RouterException if the body is too large, alone or with those of other
	 * requests, slow or cut off, or if the request is cancelled; it has not run
	 */
	byte[] read(InputStream input, long contentLength, OpenRequests.Slot slot) {
		Cancellation cancellation = slot.cancellation();
		Thread reading = Thread.currentThread();
		try (Cancellation.Registration registration = cancellation.onCancel(reading::interrupt)) {
			return readAll(input, contentLength, slot);
		}
		catch (RouterException ex) {
			cancellation.check(Verdict.NOT_RUN);
			throw ex;
		}
		finally {
			// The registration is closed, so no further interrupt can arrive. Clears one
			// that arrived late, so that it does not end a later wait of this thread.
			Thread.interrupted();
		}
	}

	private byte[] readAll(InputStream input, long contentLength, OpenRequests.Slot slot) {
		if (contentLength > this.limits.maxBodyBytes()) {
			throw new RouterException(ErrorType.BODY_TOO_LARGE, this.limits.maxBodyBytes());
		}
		long started = this.time.nanos();
		slot.reserveBody(contentLength);
		ByteArrayOutputStream body = new ByteArrayOutputStream((int) Math.max(0, contentLength));
		byte[] buffer = new byte[BUFFER_BYTES];
		try {
			for (int length = input.read(buffer); length >= 0; length = input.read(buffer)) {
				slot.reserveBody(body.size() + length);
				body.write(buffer, 0, length);
				if (body.size() > this.limits.maxBodyBytes()) {
					throw new RouterException(ErrorType.BODY_TOO_LARGE, this.limits.maxBodyBytes());
				}
				if (this.time.nanos() - started > this.limits.bodyTimeoutMillis() * NANOS_PER_MILLI) {
					throw slowSender();
				}
			}
			return body.toByteArray();
		}
		catch (IOException ex) {
			if (isTimeout(ex)) {
				throw slowSender();
			}
			throw new RouterException(ErrorType.BAD_REQUEST, "the body ended early");
		}
	}

	private static boolean isTimeout(Throwable failure) {
		for (Throwable cause = failure; cause != null; cause = cause.getCause()) {
			if (cause instanceof java.util.concurrent.TimeoutException) {
				return true;
			}
		}
		return false;
	}

	private RouterException slowSender() {
		return new RouterException(ErrorType.SLOW_SENDER, this.limits.bodyTimeoutMillis());
	}

}
