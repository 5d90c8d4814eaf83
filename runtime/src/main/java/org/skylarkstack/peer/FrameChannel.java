package org.skylarkstack.peer;

import java.io.EOFException;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Reads and writes length-prefixed frames on a non-blocking socket. Used only by the
 * transport thread.
 */
final class FrameChannel {

	private static final int MAX_FRAME_BYTES = 1024 * 1024;

	private static final int INITIAL_BYTES = 4 * 1024;

	private static final int MAX_READS_PER_CALL = 16;

	private final SocketChannel socket;

	private final SelectionKey key;

	private final Deque<ByteBuffer> pending = new ArrayDeque<>();

	private ByteBuffer input = ByteBuffer.allocate(INITIAL_BYTES);

	FrameChannel(SocketChannel socket, SelectionKey key) {
		this.socket = socket;
		this.key = key;
	}

	/**
	 * Reads the available bytes and delivers each complete frame without its length
	 * prefix.
	 * @param frames receives the frames
	 * @return the number of bytes read
	 * @throws IOException if the connection ended or a frame length is out of bounds
	 */
	int read(Consumer<byte[]> frames) throws IOException {
		int total = 0;
		for (int reads = 0; reads < MAX_READS_PER_CALL; reads++) {
			int count = this.socket.read(this.input);
			if (count < 0) {
				throw new EOFException("peer closed the connection");
			}
			if (count == 0) {
				break;
			}
			total += count;
			splitFrames(frames);
		}
		return total;
	}

	private void splitFrames(Consumer<byte[]> frames) throws IOException {
		this.input.flip();
		while (this.input.remaining() >= Integer.BYTES) {
			int length = this.input.getInt(this.input.position());
			if (length <= 0 || length > MAX_FRAME_BYTES - Integer.BYTES) {
				throw new IOException("frame length %d is out of bounds".formatted(length));
			}
			if (this.input.remaining() < Integer.BYTES + length) {
				resize(Integer.BYTES + length);
				return;
			}
			byte[] frame = new byte[length];
			this.input.position(this.input.position() + Integer.BYTES).get(frame);
			frames.accept(frame);
		}
		resize(INITIAL_BYTES);
	}

	private void resize(int bytes) {
		if (bytes > this.input.capacity() || (bytes == INITIAL_BYTES && this.input.capacity() > INITIAL_BYTES)) {
			ByteBuffer resized = ByteBuffer.allocate(Math.max(bytes, INITIAL_BYTES));
			resized.put(this.input);
			this.input = resized;
		}
		else {
			this.input.compact();
		}
	}

	boolean isIdle() {
		return this.pending.isEmpty();
	}

	// Queues bytes and writes as many queued bytes as the socket accepts.
	void write(byte[] bytes) throws IOException {
		this.pending.add(ByteBuffer.wrap(bytes));
		flush();
	}

	// Writes as many queued bytes as the socket accepts.
	void flush() throws IOException {
		for (ByteBuffer head = this.pending.peek(); head != null; head = this.pending.peek()) {
			this.socket.write(head);
			if (head.hasRemaining()) {
				this.key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
				return;
			}
			this.pending.remove();
		}
		this.key.interestOps(SelectionKey.OP_READ);
	}

	void close() {
		this.key.cancel();
		try {
			this.socket.close();
		}
		catch (IOException ex) {
			// The channel is not used again, even if closing the socket fails.
		}
	}

}
