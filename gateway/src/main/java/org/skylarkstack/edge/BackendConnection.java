package org.skylarkstack.edge;

import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.Verdict;
import org.skylarkstack.response.ResponseCompleteness;

/**
 * Connection that carries a single call to a backend server.
 *
 * <p>
 * {@link ResponseCompleteness} decides whether a response is complete. The decoder does
 * not tell the end of a body without a length from a connection that was closed because
 * of a failed write; {@link InputGuard} does. Such a body is also incomplete if the
 * server ends its output before the request has been sent: a server that fails may do so
 * before it resets the connection. A response that echoes the identifier of another
 * request is skipped, as are informational responses; the bytes before the head of the
 * response are bounded in total.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter implements BackendCall, PreparedConnection {

	private static final long MAX_BYTES_BEFORE_HEAD = 256 * 1024;

	private @Nullable BackendRequest request;

	private @Nullable BackendListener listener;

	private final Executor loop;

	private final Consumer<Boolean> prepared;

	private @Nullable Channel channel;

	private boolean connected;

	private boolean sent;

	private boolean sentCompletely;

	private @Nullable ResponseCompleteness completeness;

	private boolean skipping;

	private boolean reset;

	private boolean done;

	/**
	 * Creates a connection that is not attached to a channel yet.
	 * @param loop the event loop of the channel
	 * @param prepared receives whether the connection was established, unless a request
	 * has been started before
	 */
	BackendConnection(Executor loop, Consumer<Boolean> prepared) {
		this.loop = loop;
		this.prepared = prepared;
	}

	void attach(Channel opened) {
		this.channel = opened;
	}

	/**
	 * Sends a request as soon as the connection is established. May be called once.
	 * @param message the request
	 * @param receiver receives the response or the failure
	 */
	void start(BackendRequest message, BackendListener receiver) {
		this.request = message;
		this.listener = receiver;
		Channel open = this.channel;
		if (open == null) {
			throw new IllegalStateException("the connection has not been opened");
		}
		if (this.done) {
			// The caller receives the failure after the call that it belongs to.
			this.loop
				.execute(() -> receiver.failed(new BackendFailure(BackendFailure.Kind.UNREACHABLE, Verdict.NOT_RUN)));
		}
		else if (this.connected) {
			send(open, message);
		}
	}

	@Override
	public boolean hasFailed() {
		return this.done;
	}

	/**
	 * Returns the handler that precedes the decoder.
	 * @return the handler
	 */
	ChannelInboundHandlerAdapter inputGuard() {
		return new InputGuard();
	}

	boolean isHead() {
		BackendRequest pending = this.request;
		return pending != null && "HEAD".equals(pending.method());
	}

	void expire() {
		fail(BackendFailure.Kind.SILENT);
	}

	void connectFailed() {
		fail(BackendFailure.Kind.UNREACHABLE);
	}

	@Override
	public void channelActive(ChannelHandlerContext context) {
		if (this.done) {
			context.close();
			return;
		}
		this.connected = true;
		if (this.request != null) {
			send(context.channel(), this.request);
		}
		else {
			this.prepared.accept(true);
		}
	}

	private void send(Channel open, BackendRequest message) {
		this.sent = true;
		FullHttpRequest encoded = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(message.method()),
				message.target(), Unpooled.wrappedBuffer(message.body()), message.headers(), EmptyHttpHeaders.INSTANCE);
		if (message.body().length > 0 || !"GET".equals(message.method())) {
			HttpUtil.setContentLength(encoded, message.body().length);
		}
		open.writeAndFlush(encoded).addListener((future) -> this.sentCompletely = future.isSuccess());
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		try {
			if (this.done) {
				return;
			}
			if (message instanceof HttpResponse response) {
				readHead(response);
			}
			if (!this.done && message instanceof HttpContent content) {
				readContent(content);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void readHead(HttpResponse response) {
		BackendRequest pending = this.request;
		BackendListener receiver = this.listener;
		if (response.decoderResult().isFailure() || pending == null || receiver == null) {
			fail(BackendFailure.Kind.MALFORMED);
			return;
		}
		this.skipping = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
				|| belongsToOtherRequest(response, pending);
		if (!this.skipping) {
			receiver.head(response.status().code(), response.headers());
			this.completeness = new ResponseCompleteness(isFramed(response), receiver.expectsEvents());
		}
	}

	private static boolean isFramed(HttpResponse response) {
		return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
				|| response.status().equals(HttpResponseStatus.NO_CONTENT)
				|| response.status().equals(HttpResponseStatus.NOT_MODIFIED);
	}

	private static boolean belongsToOtherRequest(HttpResponse response, BackendRequest pending) {
		String header = pending.echoedHeader();
		if (header == null) {
			return false;
		}
		String echoedId = response.headers().get(header);
		return echoedId != null && !echoedId.equals(pending.headers().get(header));
	}

	private void readContent(HttpContent content) {
		if (content.decoderResult().isFailure()) {
			fail(BackendFailure.Kind.MALFORMED);
			return;
		}
		ResponseCompleteness current = this.completeness;
		BackendListener receiver = this.listener;
		if (this.skipping || current == null || receiver == null) {
			return;
		}
		ByteBuf bytes = content.content();
		if (bytes.isReadable()) {
			byte[] part = new byte[bytes.readableBytes()];
			bytes.readBytes(part);
			current.append(part, 0, part.length);
			receiver.data(part);
		}
		if (this.done || !(content instanceof LastHttpContent)) {
			return;
		}
		if (current.isComplete(this.reset || !this.sentCompletely)) {
			this.done = true;
			close();
			receiver.ended();
		}
		else {
			fail(BackendFailure.Kind.BROKEN);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		this.reset = true;
		fail(BackendFailure.Kind.BROKEN);
	}

	// The end of the server's output has been decoded before this event arrives.
	@Override
	public void userEventTriggered(ChannelHandlerContext context, Object event) {
		if (event instanceof ChannelInputShutdownEvent) {
			fail(BackendFailure.Kind.BROKEN);
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		fail(BackendFailure.Kind.BROKEN);
	}

	private void fail(BackendFailure.Kind kind) {
		if (this.done) {
			return;
		}
		this.done = true;
		close();
		BackendListener receiver = this.listener;
		if (receiver != null) {
			receiver.failed(new BackendFailure(kind, this.sent ? Verdict.MAY_HAVE_RUN : Verdict.NOT_RUN));
		}
		else if (!this.connected) {
			this.prepared.accept(false);
		}
	}

	private void close() {
		Channel open = this.channel;
		if (open != null && open.isRegistered()) {
			open.close();
		}
	}

	@Override
	public void cancel() {
		this.done = true;
		close();
	}

	@Override
	public boolean sent() {
		return this.sent;
	}

	@Override
	public void setReading(boolean reading) {
		Channel open = this.channel;
		if (open != null && !this.done) {
			open.config().setAutoRead(reading);
		}
	}

	/**
	 * Observes the input before it is decoded. Fails the call if too many bytes arrive
	 * before the head of the response: the HTTP decoder bounds a single head, but neither
	 * the number of heads that are skipped and their bodies nor the line breaks before a
	 * head. Also records that the connection has been closed without the end of the
	 * server's output, as after a failed write.
	 */
	private final class InputGuard extends ChannelInboundHandlerAdapter {

		private long received;

		@Override
		public void channelRead(ChannelHandlerContext context, Object message) {
			this.received += (message instanceof ByteBuf bytes) ? bytes.readableBytes() : 0;
			context.fireChannelRead(message);
			if (BackendConnection.this.completeness == null && this.received > MAX_BYTES_BEFORE_HEAD) {
				fail(BackendFailure.Kind.MALFORMED);
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext context) {
			BackendConnection.this.reset = true;
			context.fireChannelInactive();
		}

	}

}
