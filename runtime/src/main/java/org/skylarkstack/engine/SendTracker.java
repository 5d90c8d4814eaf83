package org.skylarkstack.engine;

import java.io.IOException;
import java.io.InterruptedIOException;

import okhttp3.Call;
import okhttp3.EventListener;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Records whether a byte of a call may have left this process. It travels as the tag of
 * the request.
 */
public final class SendTracker extends EventListener {

	private volatile boolean started;

	/**
	 * Returns the listener of a call: its tracker if it carries one.
	 * @param call the call
	 * @return the listener
	 */
	public static EventListener of(Call call) {
		SendTracker tracker = call.request().tag(SendTracker.class);
		return (tracker != null) ? tracker : EventListener.NONE;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.started = true;
	}

	/**
	 * Returns what is known about the call so far.
	 * @return "not run" until the first byte may have left
	 */
	public Verdict verdict() {
		return this.started ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	/**
	 * Translates a failed call.
	 * @param server the backend server
	 * @param idleTimeoutMillis the idle bound of the stage
	 * @param failure the failure
	 * @return the error
	 */
	public RouterException translate(String server, int idleTimeoutMillis, IOException failure) {
		if (!this.started) {
			return RouterException.of(ErrorType.BACKEND_UNREACHABLE, Verdict.NOT_RUN, failure, server);
		}
		if (failure instanceof InterruptedIOException) {
			return RouterException.of(ErrorType.BACKEND_TIMEOUT, Verdict.MAY_HAVE_RUN, failure, server,
					idleTimeoutMillis);
		}
		return RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, failure, server,
				String.valueOf(failure.getMessage()));
	}

}
