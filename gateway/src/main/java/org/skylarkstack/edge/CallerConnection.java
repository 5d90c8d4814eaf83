package org.skylarkstack.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Connection of a caller. Requests are handled one at a time: a pipelined request waits
 * until the previous response has been written. A connection closes in two steps: it
 * first shuts down its output and closes the socket after a delay. Closing the socket
 * immediately while the caller is still sending would reset the connection, and the
 * caller could lose the response.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final Logger log = LoggerFactory.getLogger(CallerConnection.class);

	private static final int MAX_PIPELINED = 16;

	private static final long LINGER_MILLIS = 500;

	private static final int RETRY_AFTER_SECONDS = 1;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final EdgeServer server;

	private final Deque<CallerRequest> pipelined = new ArrayDeque<>();

	private RequestBodyStream body = new RequestBodyStream(0);

	// Reserved for the request that is being received.
	private long receivingBytes;

	// Reserved for all requests of this connection that have not been answered.
	private long reservedBytes;

	private @Nullable Channel channel;

	private @Nullable HttpRequest head;

	private @Nullable Exchange exchange;

	private boolean ignoringInput;

	private boolean lingering;

	private boolean receiving;

	private long receivingSinceNanos;

	private int requestCount;

	private long idleSinceNanos = System.nanoTime();

	CallerConnection(EdgeServer server) {
		this.server = server;
	}

	ChannelInboundHandlerAdapter firstByteRecorder() {
		return new FirstByteRecorder();
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		this.channel = context.channel();
		this.server.add(this);
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.ignoringInput = true;
		this.pipelined.clear();
		this.server.remove(this);
		this.body = new RequestBodyStream(0);
		release(this.reservedBytes);
		Exchange open = this.exchange;
		if (open != null) {
			open.connectionClosed();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		Exchange open = this.exchange;
		if (open != null && context.channel().isWritable()) {
			open.writableAction.run();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		// The caller reset the connection; channelInactive follows and ends the request
		// in progress.
		context.close();
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (this.ignoringInput) {
				return;
			}
			if (message instanceof HttpRequest request) {
				begin(request);
			}
			if (message instanceof HttpContent content && this.head != null) {
				append(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void begin(HttpRequest request) {
		if (request.decoderResult().isFailure()) {
			int status = (request.decoderResult().cause() instanceof TooLongHttpHeaderException) ? 431 : 400;
			reject(status, "the request head is malformed or too long");
			return;
		}
		if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
				&& request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			reject(400, "content length and transfer encoding exclude each other");
			return;
		}
		long announcedBytes = HttpUtil.getContentLength(request, 0L);
		if (announcedBytes > this.server.currentLimits().maxBodyBytes()) {
			reject(413, "the request body is too large");
			return;
		}
		if (!reserve(announcedBytes)) {
			return;
		}
		this.head = request;
		this.body = new RequestBodyStream((int) announcedBytes);
		if (HttpUtil.is100ContinueExpected(request)) {
			channel().writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
		}
	}

	private void append(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			reject(400, "the request body is malformed");
			return;
		}
		ByteBuf bytes = content.content();
		if (this.body.size() + bytes.readableBytes() > this.server.currentLimits().maxBodyBytes()) {
			reject(413, "the request body is too large");
			return;
		}
		long missingBytes = this.body.size() + bytes.readableBytes() - this.receivingBytes;
		if (missingBytes > 0 && !reserve(missingBytes)) {
			return;
		}
		byte[] part = new byte[bytes.readableBytes()];
		bytes.readBytes(part);
		this.body.writeBytes(part);
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private boolean reserve(long bytes) {
		if (!this.server.bodyBudget().tryReserve(this.receivingBytes, bytes)) {
			log.atWarn()
				.addKeyValue("event", "request-body-refused")
				.addKeyValue("bytes", this.receivingBytes + bytes)
				.addKeyValue("reservedBytes", this.server.bodyBudget().totalBytes())
				.log();
			reject(503, "too many request bodies are being processed");
			return false;
		}
		this.receivingBytes += bytes;
		this.reservedBytes += bytes;
		return true;
	}

	private void release(long bytes) {
		this.reservedBytes -= bytes;
		this.server.bodyBudget().release(bytes);
	}

	private void complete() {
		HttpRequest request = this.head;
		this.head = null;
		this.receiving = false;
		this.receivingBytes = 0;
		if (request == null) {
			return;
		}
		this.requestCount++;
		CallerRequest callerRequest = new CallerRequest(request.method().name(), request.uri(), request.headers(),
				this.body.toByteArray(), HttpUtil.isKeepAlive(request),
				new RequestArrival(this.requestCount, this.receivingSinceNanos));
		this.body = new RequestBodyStream(0);
		if (this.exchange == null) {
			dispatch(callerRequest);
		}
		else if (this.pipelined.size() < MAX_PIPELINED) {
			this.pipelined.add(callerRequest);
		}
		else {
			channel().close();
		}
	}

	private void dispatch(CallerRequest request) {
		Exchange opened = new Exchange(!request.keepAlive(), request.body().length);
		this.exchange = opened;
		this.server.handler().handle(request, opened);
	}

	private void exchangeEnded(Exchange ended, boolean close) {
		this.exchange = null;
		release(ended.requestBytes);
		this.idleSinceNanos = System.nanoTime();
		if (close) {
			closeAfterLinger();
			return;
		}
		CallerRequest next = this.pipelined.poll();
		if (next != null) {
			dispatch(next);
		}
	}

	// The request has not been handled.
	private void reject(int status, String reason) {
		this.ignoringInput = true;
		this.head = null;
		this.body = new RequestBodyStream(0);
		release(this.receivingBytes);
		this.receivingBytes = 0;
		if (this.exchange != null) {
			// The previous response is not complete yet, and nothing may be written
			// before its end. The connection closes after it.
			return;
		}
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status),
				Unpooled.wrappedBuffer((reason + "\n").getBytes(StandardCharsets.UTF_8)));
		HttpUtil.setContentLength(response, response.content().readableBytes());
		response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		if (status == 503) {
			response.headers().set(HttpHeaderNames.RETRY_AFTER, RETRY_AFTER_SECONDS);
		}
		channel().writeAndFlush(response);
		closeAfterLinger();
	}

	// The delay begins when the caller has received the response, which a slow caller
	// reads only later. A caller that never reads it is disconnected as an idle one.
	private void closeAfterLinger() {
		this.ignoringInput = true;
		this.lingering = true;
		this.idleSinceNanos = System.nanoTime();
		Channel open = channel();
		open.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> {
			if (open instanceof SocketChannel socket && open.isActive()) {
				socket.shutdownOutput();
			}
			open.eventLoop().schedule(() -> open.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	void closeIfIdle() {
		if (this.exchange == null && this.head == null && !this.receiving && !this.lingering) {
			channel().close();
		}
	}

	void closeIfTimedOut(long nowNanos) {
		if (this.exchange != null) {
			return;
		}
		EdgeLimits limits = this.server.currentLimits();
		if (this.receiving && !this.ignoringInput) {
			if (nowNanos - this.receivingSinceNanos > limits.requestTimeoutMillis() * NANOS_PER_MILLI) {
				reject(408, "the request did not arrive in time");
			}
		}
		else if (nowNanos - this.idleSinceNanos > limits.idleTimeoutMillis() * NANOS_PER_MILLI) {
			channel().close();
		}
	}

	private Channel channel() {
		Channel open = this.channel;
		if (open == null) {
			throw new IllegalStateException("the connection is not active");
		}
		return open;
	}

	/**
	 * Records when the first byte of a request arrives, which the HTTP decoder does not
	 * report.
	 */
	private final class FirstByteRecorder extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			if (!CallerConnection.this.receiving) {
				CallerConnection.this.receiving = true;
				CallerConnection.this.receivingSinceNanos = System.nanoTime();
			}
			context.fireChannelRead(message);
		}

	}

	/**
	 * A request in progress and its response.
	 */
	private final class Exchange implements CallerResponse {

		private final boolean closeAfter;

		private final long requestBytes;

		private @Nullable Runnable disconnectAction;

		private Runnable writableAction = () -> {
		};

		private boolean callerDisconnected;

		private boolean done;

		private boolean closeAnnounced;

		Exchange(boolean closeAfter, long requestBytes) {
			this.closeAfter = closeAfter;
			this.requestBytes = requestBytes;
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
			channel().writeAndFlush(response);
			exchangeEnded(this, close);
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
			channel().writeAndFlush(response);
		}

		private boolean markClose(HttpResponse response) {
			this.closeAnnounced = closesAfterResponse();
			if (this.closeAnnounced) {
				response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
			}
			return this.closeAnnounced;
		}

		// Requests that have been received are answered before a stop closes the
		// connection.
		private boolean closesAfterResponse() {
			return this.closeAfter || CallerConnection.this.ignoringInput
					|| (CallerConnection.this.server.isClosing() && CallerConnection.this.pipelined.isEmpty());
		}

		@Override
		public void write(byte[] part) {
			if (!finished() && part.length > 0) {
				channel().writeAndFlush(new DefaultHttpContent(Unpooled.wrappedBuffer(part)));
			}
		}

		@Override
		public void finish() {
			if (finished()) {
				return;
			}
			this.done = true;
			channel().writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
			exchangeEnded(this, this.closeAnnounced || closesAfterResponse());
		}

		@Override
		public void abort() {
			if (finished()) {
				return;
			}
			this.done = true;
			CallerConnection.this.exchange = null;
			channel().close().addListener(ChannelFutureListener.CLOSE);
		}

		@Override
		public boolean isWritable() {
			return finished() || channel().isWritable();
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

		private void connectionClosed() {
			Runnable action = this.disconnectAction;
			if (!finished()) {
				this.callerDisconnected = true;
				if (action != null) {
					action.run();
				}
			}
		}

	}

}
