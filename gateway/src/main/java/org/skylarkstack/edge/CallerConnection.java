package org.skylarkstack.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Connection of a caller. Requests are handled one at a time: a pipelined request waits
 * until the previous response has been written. A connection closes in two steps: it
 * first shuts down its output and closes the socket after a delay. Closing the socket
 * immediately while the caller is still sending would reset the connection, and the
 * caller could lose the response.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {

	private static final long LINGER_MILLIS = 500;

	private static final int RETRY_AFTER_SECONDS = 1;

	private final EdgeServer server;

	private final Deque<CallerExchange> pipelined = new ArrayDeque<>();

	private RequestBodyStream body = new RequestBodyStream(0);

	private long headBytes;

	private final ConnectionMemory memory;

	private final CallerRequestDecoder decoder;

	private @Nullable Channel channel;

	private @Nullable HttpRequest head;

	private @Nullable CallerExchange exchange;

	private boolean ignoringInput;

	private int requestCount;

	private final ConnectionLifetime lifetime;

	CallerConnection(EdgeServer server) {
		this.server = server;
		this.lifetime = new ConnectionLifetime(server::currentLimits, System.nanoTime());
		this.memory = new ConnectionMemory(server.capacity().bodies(), server.capacity().memory());
		this.decoder = new CallerRequestDecoder(this, server.inputTurns());
	}

	CallerRequestDecoder decoder() {
		return this.decoder;
	}

	boolean ignoresInput() {
		return this.ignoringInput;
	}

	/**
	 * Returns whether another request or another part of one can be handled. A request
	 * behind one in progress is decoded; further ones wait, and all wait while the caller
	 * does not read.
	 * @return whether input should be decoded
	 */
	boolean acceptsInput() {
		return this.pipelined.isEmpty() && channel().isWritable();
	}

	boolean respondsToHead() {
		CallerExchange open = this.exchange;
		return open != null && open.isHead();
	}

	/** Records that input of a request is decoded. */
	void inputDecoded() {
		if (!this.lifetime.isReceiving()) {
			this.lifetime.inputDecoded(System.nanoTime());
		}
	}

	/**
	 * Refuses the request if its head or its trailing fields are too large.
	 * @param length the length received so far that counts towards the header limit, in
	 * bytes
	 */
	void fieldsReceived(long length) {
		if (length > this.lifetime.limits().maxHeaderBytes()) {
			reject(431, "the request headers are too large");
		}
	}

	void fieldsArriving(long bytes) {
		reserve(ConnectionMemory.Kind.ARRIVING_FIELDS, bytes);
	}

	void inputWaits(long bytes) {
		this.lifetime.inputWaits(bytes > 0);
		if (bytes != this.memory.amount(ConnectionMemory.Kind.WAITING_INPUT)) {
			reserve(ConnectionMemory.Kind.WAITING_INPUT, bytes);
		}
	}

	private boolean reserve(ConnectionMemory.Kind kind, long bytes) {
		if (this.memory.trySet(kind, bytes)) {
			return true;
		}
		this.server.boundUnread(this);
		if (this.memory.trySet(kind, bytes)) {
			return true;
		}
		this.server.refused(RefusalKind.MEMORY, bytes);
		reject(503, "too many requests are being received");
		return false;
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
		this.memory.releaseAll();
		CallerExchange open = this.exchange;
		if (open != null) {
			open.connectionClosed();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		CallerExchange open = this.exchange;
		long now = System.nanoTime();
		measureUnread(now);
		if (!context.channel().isWritable()) {
			return;
		}
		if (open != null) {
			open.runWritableAction();
		}
		this.lifetime.outputResumed(now);
		this.decoder.resume();
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
			reject(400, "the request head is malformed");
			return;
		}
		if (request.headers().contains(HttpHeaderNames.TRANSFER_ENCODING)
				&& request.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
			reject(400, "content length and transfer encoding exclude each other");
			return;
		}
		long announcedBytes = HttpUtil.getContentLength(request, 0L);
		if (announcedBytes > this.lifetime.limits().maxBodyBytes()) {
			reject(413, "the request body is too large");
			return;
		}
		if (!reserveHead() || !reserveBody(announcedBytes)) {
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
		if (this.body.size() + bytes.readableBytes() > this.lifetime.limits().maxBodyBytes()) {
			reject(413, "the request body is too large");
			return;
		}
		long missingBytes = this.body.size() + bytes.readableBytes() - this.memory.receivingBytes();
		if (missingBytes > 0 && !reserveBody(missingBytes)) {
			return;
		}
		this.body.append(bytes);
		if (content instanceof LastHttpContent) {
			complete();
		}
	}

	private boolean reserveHead() {
		this.memory.trySet(ConnectionMemory.Kind.ARRIVING_FIELDS, 0);
		long bytes = this.decoder.headCost();
		if (!reserve(ConnectionMemory.Kind.HEADS, this.memory.amount(ConnectionMemory.Kind.HEADS) + bytes)) {
			return false;
		}
		this.headBytes = bytes;
		return true;
	}

	private void releaseHead(long bytes) {
		this.memory.trySet(ConnectionMemory.Kind.HEADS, this.memory.amount(ConnectionMemory.Kind.HEADS) - bytes);
	}

	private boolean reserveBody(long bytes) {
		if (!this.memory.tryReserveBody(bytes)) {
			this.server.refused(RefusalKind.BODY, this.memory.receivingBytes() + bytes);
			reject(503, "too many request bodies are being processed");
			return false;
		}
		return true;
	}

	private void complete() {
		HttpRequest request = this.head;
		this.head = null;
		this.lifetime.requestReceived();
		this.memory.bodyReceived();
		this.memory.trySet(ConnectionMemory.Kind.ARRIVING_FIELDS, 0);
		if (request == null) {
			return;
		}
		this.requestCount++;
		CallerRequest callerRequest = new CallerRequest(request.method().name(), request.uri(), request.headers(),
				this.body.toByteArray(), HttpUtil.isKeepAlive(request),
				new RequestArrival(this.requestCount, this.lifetime.receivingSinceNanos()));
		this.body = new RequestBodyStream(0);
		CallerExchange opened = new CallerExchange(this, callerRequest, this.headBytes);
		this.headBytes = 0;
		if (this.exchange == null) {
			dispatch(opened);
		}
		else {
			this.pipelined.add(opened);
		}
	}

	private void dispatch(CallerExchange opened) {
		this.exchange = opened;
		this.lifetime.handlingBegan();
		this.server.handler().handle(opened.request(), opened);
	}

	void exchangeEnded(CallerExchange ended, boolean close) {
		this.exchange = null;
		this.memory.releaseBody(ended.request().body().length);
		releaseHead(ended.headBytes());
		this.lifetime.handlingEnded(System.nanoTime());
		if (close) {
			closeAfterLinger();
			return;
		}
		CallerExchange next = this.pipelined.poll();
		if (next != null) {
			dispatch(next);
		}
		this.decoder.resume();
	}

	void exchangeAborted() {
		this.exchange = null;
		this.lifetime.handlingEnded(System.nanoTime());
		channel().close();
	}

	// Requests that have been received are answered before a stop closes the connection.
	// They may still wait in the decoder, because it continues only later. A complete
	// request is answered too if the input behind it has been refused.
	boolean closesAfter(CallerExchange ending) {
		if (!ending.request().keepAlive()) {
			return true;
		}
		return this.pipelined.isEmpty()
				&& (this.ignoringInput || (this.server.isClosing() && !this.decoder.hasWaitingInput()));
	}

	void responseWritten() {
		measureUnread(System.nanoTime());
		this.server.boundUnread(this);
	}

	void awaitedUntil(long deadlineNanos) {
		this.lifetime.awaitedUntil(deadlineNanos);
	}

	/**
	 * Determines how much of the responses the caller has not read.
	 * @param nowNanos the present time, on the monotonic clock in nanoseconds
	 */
	void measureUnread(long nowNanos) {
		ChannelOutboundBuffer output = channel().unsafe().outboundBuffer();
		long held = (output != null) ? output.totalPendingWriteBytes() : 0;
		// A buffer that has been sent in part is held as a whole.
		this.lifetime.unread((output != null) ? held - output.currentProgress() : 0, nowNanos);
		if (held != unreadBytes()) {
			this.memory.setUnread(held);
		}
	}

	long unreadBytes() {
		return this.memory.amount(ConnectionMemory.Kind.UNREAD_RESPONSES);
	}

	ConnectionLifetime lifetime() {
		return this.lifetime;
	}

	void close() {
		channel().close();
	}

	// The request has not been handled.
	private void reject(int status, String reason) {
		this.ignoringInput = true;
		this.head = null;
		this.body = new RequestBodyStream(0);
		this.memory.releaseReceiving();
		this.memory.trySet(ConnectionMemory.Kind.ARRIVING_FIELDS, 0);
		this.memory.trySet(ConnectionMemory.Kind.WAITING_INPUT, 0);
		releaseHead(this.headBytes);
		this.headBytes = 0;
		this.decoder.discardInput();
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
		this.lifetime.closingBegan(System.nanoTime());
		this.decoder.discardInput();
		Channel open = channel();
		open.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((future) -> {
			if (open instanceof SocketChannel socket && open.isActive()) {
				socket.shutdownOutput();
			}
			open.eventLoop().schedule(() -> open.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	void closeIfNotInUse() {
		switch (this.lifetime.ending(this.decoder.hasWaitingInput())) {
			case NONE -> {
			}
			case AFTER_RESPONSE -> closeAfterLinger();
			case IMMEDIATE -> channel().close();
		}
	}

	// The time allowed for a request begins again when the previous request has ended and
	// when its response can be written: until then, its input may wait.
	void closeIfTimedOut(long nowNanos) {
		boolean acceptsInput = !this.ignoringInput && channel().isWritable();
		switch (this.lifetime.expiry(acceptsInput, nowNanos)) {
			case NONE -> {
			}
			case REQUEST -> reject(408, "the request did not arrive in time");
			case CONNECTION -> {
				if (unreadBytes() > 0) {
					this.server.refused(RefusalKind.UNREAD, unreadBytes());
				}
				channel().close();
			}
		}
	}

	Channel channel() {
		Channel open = this.channel;
		if (open == null) {
			throw new IllegalStateException("the connection is not active");
		}
		return open;
	}

}
