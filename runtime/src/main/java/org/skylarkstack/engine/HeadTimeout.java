package org.skylarkstack.engine;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.util.concurrent.TimeUnit;

import okhttp3.Call;
import okhttp3.Response;
import okio.AsyncTimeout;
import org.jspecify.annotations.Nullable;

/**
 * Timeout for the complete head of a response. A read timeout alone does not end a head
 * that arrives byte by byte.
 */
public final class HeadTimeout extends AsyncTimeout {

	private final Call call;

	private HeadTimeout(Call call, int millis) {
		this.call = call;
		timeout(millis, TimeUnit.MILLISECONDS);
	}

	@Override
	protected void timedOut() {
		this.call.cancel();
	}

	/**
	 * Executes a call up to the head of its response.
	 * @param call the call
	 * @param millis the timeout in milliseconds
	 * @return the response, whose body has not been read
	 * @throws InterruptedIOException if the head is not complete within the timeout
	 * @throws IOException if the call fails
	 */
	public static Response execute(Call call, int millis) throws IOException {
		HeadTimeout timeout = new HeadTimeout(call, millis);
		timeout.enter();
		Response response;
		try {
			response = call.execute();
		}
		catch (IOException ex) {
			throw timeout.exit() ? expired(millis, ex) : ex;
		}
		if (timeout.exit()) {
			response.close();
			throw expired(millis, null);
		}
		return response;
	}

	private static IOException expired(int millis, @Nullable IOException cause) {
		InterruptedIOException failure = new InterruptedIOException(
				"the response head was not complete within %d ms".formatted(millis));
		failure.initCause(cause);
		return failure;
	}

}
