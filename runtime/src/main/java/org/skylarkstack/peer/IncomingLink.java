package org.skylarkstack.peer;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.util.Set;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * Accepted connection from one peer, used by the transport thread alone.
 */
final class IncomingLink {

	private static final long WINDOW_NANOS = 1_000_000_000L;

	private final byte[] nonce = new byte[FrameSeal.NONCE_BYTES];

	private final FrameChannel channel;

	private final String self;

	private final String secret;

	private final PeerCodec codec;

	private final TransportBounds bounds;

	private final TransportStatistics statistics;

	private final Set<String> known;

	private final Set<String> blocked;

	private final BiConsumer<String, PeerMessage> receiver;

	private Handshake.@Nullable Opened opened;

	private long deadlineNanos;

	private long windowNanos;

	private long windowBytes;

	private boolean closed;

	IncomingLink(SocketChannel socket, SelectionKey key, TcpPeerTransport.Shared shared,
			BiConsumer<String, PeerMessage> receiver, long nowNanos) throws IOException {
		this.channel = new FrameChannel(socket, key);
		this.self = shared.self();
		this.secret = shared.secret();
		this.codec = shared.codec();
		this.bounds = shared.bounds();
		this.statistics = shared.statistics();
		this.known = shared.known();
		this.blocked = shared.blocked();
		this.receiver = receiver;
		this.deadlineNanos = nowNanos + this.bounds.connectTimeout().toNanos();
		this.windowNanos = nowNanos;
		new SecureRandom().nextBytes(this.nonce);
		this.channel.write(Handshake.challenge(this.nonce));
	}

	/**
	 * Closes the connection when it is silent.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the connection is closed
	 */
	boolean step(long nowNanos) {
		if (!this.closed && nowNanos - this.deadlineNanos >= 0) {
			close();
		}
		return this.closed;
	}

	void ready(SelectionKey key, long nowNanos) {
		try {
			if (key.isReadable()) {
				this.statistics.receivedBytes.add(this.channel.read((frame) -> receive(frame, nowNanos)));
			}
			if (!this.closed && key.isValid() && key.isWritable()) {
				this.channel.flush();
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	private void receive(byte[] frame, long nowNanos) {
		Handshake.Opened session = this.opened;
		if (this.closed) {
			return;
		}
		if (session == null) {
			greet(frame, nowNanos);
			return;
		}
		if (this.blocked.contains(session.connector())) {
			session.in().open(frame);
			return;
		}
		byte[] body = session.in().open(frame);
		if (body == null) {
			this.statistics.rejectedFrames.increment();
			close();
			return;
		}
		this.deadlineNanos = nowNanos + 2 * this.bounds.silenceTimeout().toNanos();
		if (body.length == 0) {
			acknowledge(session);
		}
		else if (withinRate(frame.length, nowNanos)) {
			dispatch(session.connector(), body);
		}
	}

	private void greet(byte[] frame, long nowNanos) {
		Handshake.Opened session = Handshake.open(frame, this.secret, this.self, this.nonce);
		if (session == null) {
			this.statistics.rejectedFrames.increment();
			close();
		}
		else if (!this.known.contains(session.connector())) {
			this.statistics.unknownPeers.increment();
			close();
		}
		else {
			this.opened = session;
			this.deadlineNanos = nowNanos + 2 * this.bounds.silenceTimeout().toNanos();
		}
	}

	private void acknowledge(Handshake.Opened session) {
		try {
			if (this.channel.isIdle()) {
				byte[] frame = session.acknowledgement().seal(new byte[0]);
				this.statistics.sentBytes.add(frame.length);
				this.channel.write(frame);
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	private boolean withinRate(int bytes, long nowNanos) {
		if (nowNanos - this.windowNanos >= WINDOW_NANOS) {
			this.windowNanos = nowNanos;
			this.windowBytes = 0;
		}
		this.windowBytes += bytes;
		if (this.windowBytes > this.bounds.inboundBytesPerSecond()) {
			this.statistics.droppedRate.increment();
			return false;
		}
		return true;
	}

	private void dispatch(String from, byte[] body) {
		PeerMessage message;
		try {
			message = this.codec.decode(body);
		}
		catch (IllegalArgumentException ex) {
			this.statistics.rejectedFrames.increment();
			return;
		}
		this.receiver.accept(from, message);
	}

	void close() {
		this.closed = true;
		this.channel.close();
	}

}
