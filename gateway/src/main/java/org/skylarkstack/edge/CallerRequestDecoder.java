package org.skylarkstack.edge;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;

/**
 * Decodes the requests of one connection, only as far as the connection accepts them and
 * a bounded number of messages at a time. The rest of the input waits; beyond a bound the
 * socket is not read. While little waits, the socket is read, so that the end of the
 * connection is detected while a request is handled.
 *
 * <p>
 * The lengths of the request line and of the fields are bounded here rather than by the
 * super class, whose limits are fixed when the connection is accepted.
 */
final class CallerRequestDecoder extends HttpRequestDecoder {

	// By how much a request line, or the line of a chunk, may exceed the header limit.
	private static final int LINE_ALLOWANCE_BYTES = 8_192;

	// A field takes an entry of the headers, its name and its value, and as much again in
	// the request to the server.
	private static final long FIELD_BYTES = 256;

	private static final long HEAD_BYTES = 1_024;

	// The bytes are kept as text, and sent again.
	private static final long COPIES = 2;

	// The shortest field is one character, a colon and the end of the line.
	private static final long MIN_FIELD_LENGTH = 4;

	// Decoding and handling so many fields takes as long as another message.
	private static final int FIELDS_PER_MESSAGE = 64;

	private static final int MAX_WAITING_BYTES = 32 * 1024;

	private static final int MESSAGES_PER_READ = 16;

	private final CallerConnection connection;

	private final InputTurns turns;

	private @Nullable ChannelHandlerContext context;

	private @Nullable HttpMessage arriving;

	private int allowance = MESSAGES_PER_READ;

	private @Nullable ByteBuf decodingInput;

	// Where the fields begin in the input that is decoded.
	private int fieldsIndex;

	private int requestLineLength;

	// Bytes of the head or the trailing fields that are being received.
	private long fieldBytes;

	// The same without the request line and the ends of the lines.
	private long fieldLength;

	private long headCost;

	private boolean decoding;

	private boolean awaitsTurn;

	CallerRequestDecoder(CallerConnection connection, InputTurns turns) {
		super(new HttpDecoderConfig().setMaxInitialLineLength(Integer.MAX_VALUE).setMaxHeaderSize(Integer.MAX_VALUE));
		this.connection = connection;
		this.turns = turns;
	}

	@Override
	public void handlerAdded(ChannelHandlerContext added) {
		this.context = added;
	}

	/**
	 * Returns the memory that the head decoded last occupies.
	 * @return an estimate in bytes
	 */
	long headCost() {
		return this.headCost;
	}

	@Override
	public void channelRead(ChannelHandlerContext current, Object input) throws Exception {
		if (this.connection.ignoresInput()) {
			ReferenceCountUtil.release(input);
			return;
		}
		this.decoding = true;
		try {
			super.channelRead(current, input);
		}
		finally {
			this.decoding = false;
		}
		settle(current);
	}

	// The super class would read from the socket if reading is switched off.
	@Override
	public void channelReadComplete(ChannelHandlerContext current) throws Exception {
		if (!this.awaitsTurn) {
			this.allowance = MESSAGES_PER_READ;
		}
		if (current.channel().config().isAutoRead()) {
			super.channelReadComplete(current);
		}
		else {
			discardSomeReadBytes();
			current.fireChannelReadComplete();
		}
	}

	/**
	 * Returns whether input has been received that is not decoded yet.
	 * @return whether input waits, which may be an incomplete request
	 */
	boolean hasWaitingInput() {
		return actualReadableBytes() > 0;
	}

	/** Continues with input that waits, if the connection accepts it now. */
	void resume() {
		ChannelHandlerContext current = this.context;
		if (!this.decoding && current != null && hasWaitingInput()) {
			current.executor().execute(this::decodeWaiting);
		}
	}

	/**
	 * Decodes some of the input that waits.
	 * @param messages the maximum number of messages
	 * @return the number of messages
	 */
	int takeTurn(int messages) {
		this.awaitsTurn = false;
		this.allowance = messages;
		decodeWaiting();
		int decoded = messages - this.allowance;
		if (!this.awaitsTurn) {
			this.allowance = MESSAGES_PER_READ;
		}
		return decoded;
	}

	/** Reads from the socket from now on, to discard the input. */
	void discardInput() {
		ChannelHandlerContext current = this.context;
		if (current != null && current.channel().isActive()) {
			current.channel().config().setAutoRead(true);
		}
	}

	private void decodeWaiting() {
		ChannelHandlerContext current = this.context;
		if (this.decoding || current == null || current.isRemoved() || !current.channel().isActive()) {
			return;
		}
		try {
			channelRead(current, Unpooled.EMPTY_BUFFER);
		}
		catch (Exception ex) {
			current.fireExceptionCaught(ex);
		}
	}

	private void settle(ChannelHandlerContext current) {
		ChannelConfig config = current.channel().config();
		if (this.connection.ignoresInput()) {
			config.setAutoRead(true);
			return;
		}
		int waiting = actualReadableBytes();
		boolean accepted = this.connection.acceptsInput();
		if (waiting > 0 && accepted && this.allowance <= 0 && !this.awaitsTurn) {
			this.awaitsTurn = true;
			this.turns.add(this);
		}
		boolean paused = waiting > 0 && (!accepted || this.awaitsTurn);
		config.setAutoRead(!paused || waiting < MAX_WAITING_BYTES);
		this.connection.inputWaits(paused ? waiting : 0);
	}

	@Override
	protected void decode(ChannelHandlerContext current, ByteBuf input, List<Object> messages) throws Exception {
		if (this.connection.ignoresInput()) {
			input.skipBytes(input.readableBytes());
			return;
		}
		if (this.allowance <= 0 || !this.connection.acceptsInput()) {
			return;
		}
		this.connection.inputDecoded();
		int before = input.readerIndex();
		this.decodingInput = input;
		this.fieldsIndex = before;
		super.decode(current, input, messages);
		this.decodingInput = null;
		this.fieldBytes += input.readerIndex() - before;
		HttpMessage head = this.arriving;
		boolean complete = !messages.isEmpty();
		if (!complete || head != null || hasTrailingFields(messages)) {
			boundLengths(input, complete);
			if (this.connection.ignoresInput()) {
				return;
			}
		}
		long fields = (head != null) ? head.headers().size() : this.fieldBytes / MIN_FIELD_LENGTH;
		long cost = fields * FIELD_BYTES + this.fieldBytes * COPIES;
		if (!complete) {
			this.connection.fieldsArriving(cost);
			return;
		}
		this.headCost = HEAD_BYTES + cost;
		this.fieldBytes = 0;
		this.fieldLength = 0;
		this.requestLineLength = 0;
		this.arriving = null;
		this.allowance -= 1 + ((head != null) ? head.headers().size() / FIELDS_PER_MESSAGE : 0);
	}

	private static boolean hasTrailingFields(List<Object> messages) {
		return messages.get(messages.size() - 1) instanceof LastHttpContent last && !last.trailingHeaders().isEmpty();
	}

	private void boundLengths(ByteBuf input, boolean complete) {
		for (int index = this.fieldsIndex; index < input.readerIndex(); index++) {
			byte next = input.getByte(index);
			if (next != HttpConstants.CR && next != HttpConstants.LF) {
				this.fieldLength++;
			}
		}
		long length = this.fieldLength;
		if (!complete && input.indexOf(input.readerIndex(), input.writerIndex(), HttpConstants.LF) < 0) {
			// The last byte of an incomplete line may belong to its end.
			length += Math.max(0, input.readableBytes() - 1);
		}
		if (this.arriving == null) {
			// A request line, or the line of a chunk, which may precede trailing fields.
			length -= LINE_ALLOWANCE_BYTES;
		}
		this.connection.fieldsReceived(Math.max(length, this.requestLineLength - LINE_ALLOWANCE_BYTES));
	}

	@Override
	protected HttpMessage createMessage(String[] initialLine) throws Exception {
		HttpMessage message = super.createMessage(initialLine);
		this.arriving = message;
		ByteBuf input = this.decodingInput;
		if (input != null) {
			this.requestLineLength = input.readerIndex() - this.fieldsIndex;
			this.fieldsIndex = input.readerIndex();
		}
		return message;
	}

	// The connection refuses requests that state both.
	@Override
	protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
	}

}
