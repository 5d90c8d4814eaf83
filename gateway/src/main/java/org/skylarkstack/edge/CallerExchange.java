package org.skylarkstack.edge;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;

/**
 * A request of a caller and its response.
 */
final class CallerExchange implements CallerResponse {

	private final CallerConnection connection;

	private final CallerRequest request;

	private final long headBytes;

	private @Nullable Runnable disconnectAction;

	private Runnable writableAction = () -> {
	};

	private boolean callerDisconnected;

	private boolean done;

	private boolean closeAnnounced;

	CallerExchange(CallerConnection connection, CallerRequest request, long headBytes) {
		this.connection = connection;
		this.request = request;
		this.headBytes = headBytes;
	}

	CallerRequest request() {
		return this.request;
	}

	/**
	 * Returns the memory that the head of the request occupies.
	 * @return an estimate in bytes
	 */
	long headBytes() {
		return this.headBytes;
	}

	boolean isHead() {
		return "HEAD".equals(this.request.method());
	}

	void runWritableAction() {
		this.writableAction.run();
	}

	@Override
	public void awaitedUntil(long deadlineNanos) {
		this.connection.awaitedUntil(deadlineNanos);
	}

	@Override
	public void send(int status, HttpHeaders headers, byte[] content) {
		if (finished()) {
			return;
		}
		this.done = true;
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(content), headers.copy(),
				EmptyHttpHeaders.INSTANCE);
		HttpUtil.setContentLength(response, content.length);
		boolean close = markClose(response);
		this.connection.channel().writeAndFlush(response);
		this.connection.responseWritten();
		this.connection.exchangeEnded(this, close);
	}

	@Override
	public void start(int status, HttpHeaders headers) {
		if (finished()) {
			return;
		}
		HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
				headers.copy());
		HttpUtil.setTransferEncodingChunked(response, true);
		markClose(response);
		this.connection.channel().writeAndFlush(response);
		this.connection.responseWritten();
	}

	private boolean markClose(HttpResponse response) {
		this.closeAnnounced = this.connection.closesAfter(this);
		if (this.closeAnnounced) {
			response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return this.closeAnnounced;
	}

	@Override
	public void write(byte[] part) {
		if (!finished() && part.length > 0) {
			this.connection.channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
			this.connection.responseWritten();
		}
	}

	@Override
	public void finish() {
		if (finished()) {
			return;
		}
		this.done = true;
		this.connection.channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
		this.connection.exchangeEnded(this, this.closeAnnounced || this.connection.closesAfter(this));
	}

	@Override
	public void abort() {
		if (finished()) {
			return;
		}
		this.done = true;
		this.connection.exchangeAborted();
	}

	@Override
	public boolean isWritable() {
		return finished() || this.connection.channel().isWritable();
	}

	@Override
	public void onWritable(Runnable action) {
		this.writableAction = action;
	}

	@Override
	public void onDisconnect(Runnable action) {
		if (this.callerDisconnected) {
			action.run();
			return;
		}
		this.disconnectAction = action;
	}

	private boolean finished() {
		return this.done || this.callerDisconnected;
	}

	void connectionClosed() {
		Runnable action = this.disconnectAction;
		if (!finished()) {
			this.callerDisconnected = true;
			if (action != null) {
				action.run();
			}
		}
	}

}
