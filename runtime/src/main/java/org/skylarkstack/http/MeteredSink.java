package org.skylarkstack.http;

import org.skylarkstack.metrics.RouterMetrics;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.request.ResponseSink;
import org.skylarkstack.schedule.RequestClass;

/**
 * Sink that records the time to the first event and the time between events.
 */
final class MeteredSink implements ResponseSink {

	private final ResponseSink sink;

	private final RouterMetrics metrics;

	private final RequestClass requestClass;

	private final TimeSource time;

	private long lastNanos;

	private boolean started;

	MeteredSink(ResponseSink sink, RouterMetrics metrics, RequestClass requestClass, long startNanos, TimeSource time) {
		this.sink = sink;
		this.metrics = metrics;
		this.requestClass = requestClass;
		this.lastNanos = startNanos;
		this.time = time;
	}

	@Override
	public void event(String data) {
		this.sink.event(data);
		long now = this.time.nanos();
		if (this.started) {
			this.metrics.tokenGap(now - this.lastNanos);
		}
		else {
			this.metrics.firstToken(this.requestClass, now - this.lastNanos);
			this.started = true;
		}
		this.lastNanos = now;
	}

}
