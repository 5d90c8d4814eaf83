package org.skylarkstack.engine;

import java.io.IOException;
import java.io.InterruptedIOException;

import okhttp3.Call;
import okhttp3.EventListener;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * Records whether a byte of a call may have left this process. The tracker is attached to
 * the request as a tag.
 */
public final class SendTracker extends EventListener {

	private volatile boolean started;

	private volatile boolean failed;

	/**
	 * Returns the event listener of a call.
	 * @param call the call
	 * @return the tracker of the call, or {@link EventListener#NONE} if it has none
	 */
	public static EventListener of(Call call) {
		SendTracker tracker = call.request().tag(SendTracker.class);
		return (tracker != null) ? tracker : EventListener.NONE;
	}

	@Override
	public void requestHeadersStart(Call call) {
		this.started = true;
	}

	@Override
	public void requestFailed(Call call, IOException failure) {
		this.failed = true;
	}

	/**
	 * Returns whether the request could not be sent completely. OkHttp reads a response
	 * nevertheless.
	 * @return whether a write has failed
	 */
	public boolean hasFailed() {
		return this.failed;
	}

	/**
	 * Returns the verdict on the call so far.
	 * @return {@link Verdict#NOT_RUN} until the first byte may have left, then
	 * {@link Verdict#MAY_HAVE_RUN}
	 */
	public Verdict verdict() {
		return this.started ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN;
	}

	/**
	 * Translates the failure of a call into an error with a verdict.
	 * @param server the URL or id of the backend server, for the message
	 * @param idleTimeoutMillis the idle timeout of the call, for the message
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
