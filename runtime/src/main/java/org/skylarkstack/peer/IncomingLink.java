package org.skylarkstack.peer;

import java.io.IOException;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.util.Set;
import java.util.function.BiConsumer;

import org.jspecify.annotations.Nullable;

/**
 * Accepted connection from one peer, used only by the transport thread.
 */
final class IncomingLink {

	private static final long RATE_WINDOW_NANOS = 1_000_000_000L;

	private final byte[] nonce = new byte[FrameAuthenticator.NONCE_BYTES];

	private final FrameChannel channel;

	private final String self;

	private final String secret;

	private final PeerCodec codec;

	private final TransportLimits limits;

	private final TransportStatistics statistics;

	private final Set<String> knownPeers;

	private final Set<String> blockedPeers;

	private final BiConsumer<String, PeerMessage> receiver;

	private Handshake.@Nullable Session session;

	private long deadlineNanos;

	private long acknowledgedNanos;

	private long windowNanos;

	private long windowBytes;

	private boolean closed;

	IncomingLink(SocketChannel socket, SelectionKey key, TcpPeerTransport.LinkContext context,
			BiConsumer<String, PeerMessage> receiver, long nowNanos) throws IOException {
		this.channel = new FrameChannel(socket, key);
		this.self = context.self();
		this.secret = context.secret();
		this.codec = context.codec();
		this.limits = context.limits();
		this.statistics = context.statistics();
		this.knownPeers = context.knownPeers();
		this.blockedPeers = context.blockedPeers();
		this.receiver = receiver;
		this.deadlineNanos = nowNanos + this.limits.connectTimeout().toNanos();
		this.windowNanos = nowNanos;
		this.acknowledgedNanos = nowNanos - this.limits.probePeriod().toNanos();
		new SecureRandom().nextBytes(this.nonce);
		this.channel.write(Handshake.challenge(this.nonce));
	}

	/**
	 * Closes the connection if the handshake has timed out or no valid frame has arrived
	 * for twice the silence timeout.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return whether the connection is closed
	 */
	boolean step(long nowNanos) {
		if (!this.closed && nowNanos - this.deadlineNanos >= 0) {
			close();
		}
		return this.closed;
	}

	void onReady(SelectionKey key, long nowNanos) {
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
		Handshake.Session session = this.session;
		if (this.closed) {
			return;
		}
		if (session == null) {
			receiveHello(frame, nowNanos);
			return;
		}
		if (this.blockedPeers.contains(session.connector())) {
			session.incoming().verify(frame);
			return;
		}
		byte[] body = session.incoming().verify(frame);
		if (body == null) {
			this.statistics.rejectedFrames.increment();
			close();
			return;
		}
		this.deadlineNanos = nowNanos + 2 * this.limits.silenceTimeout().toNanos();
		if (body.length == 0 || nowNanos - this.acknowledgedNanos >= this.limits.probePeriod().toNanos() / 2) {
			this.acknowledgedNanos = nowNanos;
			acknowledge(session);
		}
		if (body.length > 0 && withinRate(frame.length, nowNanos)) {
			dispatch(session.connector(), body);
		}
	}

	private void receiveHello(byte[] frame, long nowNanos) {
		Handshake.Session session = Handshake.verifyHello(frame, this.secret, this.self, this.nonce);
		if (session == null) {
			this.statistics.rejectedFrames.increment();
			close();
		}
		else if (!this.knownPeers.contains(session.connector())) {
			this.statistics.unknownPeers.increment();
			close();
		}
		else {
			this.session = session;
			this.deadlineNanos = nowNanos + 2 * this.limits.silenceTimeout().toNanos();
		}
	}

	private void acknowledge(Handshake.Session session) {
		try {
			if (this.channel.isIdle()) {
				byte[] frame = session.acknowledgements().sign(new byte[0]);
				this.statistics.sentBytes.add(frame.length);
				this.channel.write(frame);
			}
		}
		catch (IOException ex) {
			close();
		}
	}

	private boolean withinRate(int bytes, long nowNanos) {
		if (nowNanos - this.windowNanos >= RATE_WINDOW_NANOS) {
			this.windowNanos = nowNanos;
			this.windowBytes = 0;
		}
		this.windowBytes += bytes;
		if (this.windowBytes > this.limits.inboundBytesPerSecond()) {
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
