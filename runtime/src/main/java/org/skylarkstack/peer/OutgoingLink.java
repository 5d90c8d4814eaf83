package org.skylarkstack.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.security.SecureRandom;
import java.util.random.RandomGenerator;

import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.settings.ListenAddress;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Outgoing connection to one peer. All methods except {@link #offer(PeerMessage)} and
 * {@link #setBlocked(boolean)} run on the transport thread.
 *
 * <p>
 * The peer acknowledges message frames at most once per half probe period, and every
 * probe. A connection without messages for a probe period is probed with an empty frame.
 * If no acknowledgement arrives within the silence timeout, the connection is replaced,
 * because TCP accepts writes on a broken connection for minutes before it reports an
 * error. Messages queued for a failed connection are dropped, because they would be stale
 * on arrival.
 */
final class OutgoingLink {

	private static final Logger LOG = LoggerFactory.getLogger(OutgoingLink.class);

	private static final int BATCH_BYTES = 64 * 1024;

	private static final byte[] PROBE = new byte[0];

	private final String self;

	private final String peer;

	private final ListenAddress address;

	private final String secret;

	private final PeerCodec codec;

	private final TransportLimits limits;

	private final TransportStatistics statistics;

	private final RandomGenerator jitter;

	private final MpscArrayQueue<PeerMessage> ring;

	private @Nullable FrameChannel channel;

	private @Nullable SocketChannel socket;

	private @Nullable FrameAuthenticator messageAuthenticator;

	private @Nullable FrameAuthenticator acknowledgementAuthenticator;

	private int failures;

	private long retryNanos;

	private long deadlineNanos;

	private long probeNanos;

	private volatile boolean down;

	private volatile boolean blocked;

	OutgoingLink(String self, String peer, ListenAddress address, String secret, PeerCodec codec,
			TransportLimits limits, TransportStatistics statistics, RandomGenerator jitter, long nowNanos) {
		this.self = self;
		this.peer = peer;
		this.address = address;
		this.secret = secret;
		this.codec = codec;
		this.limits = limits;
		this.statistics = statistics;
		this.jitter = jitter;
		this.ring = new MpscArrayQueue<>(limits.ringMessages());
		this.retryNanos = nowNanos;
	}

	boolean offer(PeerMessage message) {
		if (this.down || this.blocked || !this.ring.offer(message)) {
			this.statistics.droppedFull.increment();
			return false;
		}
		return true;
	}

	void setBlocked(boolean isBlocked) {
		this.blocked = isBlocked;
	}

	// Connects, sends a probe or closes a connection whose acknowledgements have
	// stopped, whichever is due.
	void step(Selector selector, long nowNanos) {
		if (this.socket == null) {
			if (nowNanos - this.retryNanos >= 0) {
				connect(selector, nowNanos);
			}
			return;
		}
		if (nowNanos - this.deadlineNanos >= 0) {
			if (this.messageAuthenticator != null) {
				this.statistics.replacedSilent.increment();
			}
			fail("the peer did not respond within the timeout", nowNanos);
		}
		else if (this.messageAuthenticator != null && nowNanos - this.probeNanos >= 0) {
			this.probeNanos = nowNanos + this.limits.probePeriod().toNanos();
			send(PROBE, nowNanos);
		}
	}

	private void connect(Selector selector, long nowNanos) {
		this.deadlineNanos = nowNanos + this.limits.connectTimeout().toNanos();
		try {
			SocketChannel opened = SocketChannel.open();
			this.socket = opened;
			opened.configureBlocking(false);
			opened.socket().setTcpNoDelay(true);
			SelectionKey key = opened.register(selector, SelectionKey.OP_CONNECT, this);
			this.channel = new FrameChannel(opened, key);
			if (opened.connect(new InetSocketAddress(this.address.host(), this.address.port()))) {
				key.interestOps(SelectionKey.OP_READ);
			}
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()), nowNanos);
		}
	}

	void onReady(SelectionKey key, long nowNanos) {
		FrameChannel current = this.channel;
		SocketChannel currentSocket = this.socket;
		if (current == null || currentSocket == null || key.channel() != currentSocket) {
			return;
		}
		try {
			if (key.isConnectable()) {
				currentSocket.finishConnect();
				key.interestOps(SelectionKey.OP_READ);
			}
			if (key.isReadable()) {
				int bytes = current.read((frame) -> receive(frame, nowNanos));
				this.statistics.receivedBytes.add(bytes);
			}
			if (key.isValid() && key.isWritable()) {
				current.flush();
			}
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()), nowNanos);
		}
	}

	private void receive(byte[] frame, long nowNanos) {
		FrameAuthenticator authenticator = this.acknowledgementAuthenticator;
		if (this.blocked) {
			return;
		}
		if (authenticator == null) {
			byte[] nonce = Handshake.acceptorNonce(frame);
			if (nonce == null) {
				this.statistics.rejectedFrames.increment();
				fail("the peer sent a malformed handshake challenge", nowNanos);
				return;
			}
			sendHello(nonce, nowNanos);
		}
		else if (authenticator.verify(frame) != null) {
			this.failures = 0;
			this.down = false;
			this.deadlineNanos = nowNanos + this.limits.silenceTimeout().toNanos();
		}
		else {
			this.statistics.rejectedFrames.increment();
			fail("an acknowledgement failed verification", nowNanos);
		}
	}

	private void sendHello(byte[] acceptorNonce, long nowNanos) {
		FrameChannel current = this.channel;
		if (current == null) {
			return;
		}
		byte[] nonce = new byte[FrameAuthenticator.NONCE_BYTES];
		new SecureRandom().nextBytes(nonce);
		FrameAuthenticator authenticator = Handshake.messageAuthenticator(this.secret, this.self, this.peer, nonce,
				acceptorNonce);
		this.acknowledgementAuthenticator = Handshake.acknowledgementAuthenticator(this.secret, this.self, this.peer,
				nonce, acceptorNonce);
		try {
			current.write(Handshake.hello(this.self, nonce, authenticator));
			this.messageAuthenticator = authenticator;
			this.down = false;
			this.deadlineNanos = nowNanos + this.limits.silenceTimeout().toNanos();
			this.probeNanos = nowNanos;
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()), nowNanos);
		}
	}

	// Writes a batch of queued messages if all earlier bytes have been written.
	void sendQueued(long nowNanos) {
		FrameAuthenticator authenticator = this.messageAuthenticator;
		FrameChannel current = this.channel;
		if (this.blocked) {
			this.ring.clear();
		}
		if (authenticator == null || current == null || !current.isIdle() || this.ring.isEmpty()) {
			return;
		}
		ByteArrayOutputStream batch = new ByteArrayOutputStream();
		while (batch.size() < BATCH_BYTES) {
			PeerMessage message = this.ring.poll();
			if (message == null) {
				break;
			}
			try {
				batch.writeBytes(authenticator.sign(this.codec.encode(message)));
				this.statistics.sentMessages.increment();
			}
			catch (IllegalArgumentException ex) {
				LOG.atError().addKeyValue("event", "message_not_encoded").setCause(ex).log();
			}
		}
		this.probeNanos = nowNanos + this.limits.probePeriod().toNanos();
		write(current, batch.toByteArray(), nowNanos);
	}

	private void send(byte[] body, long nowNanos) {
		if (this.messageAuthenticator != null && this.channel != null && !this.blocked) {
			write(this.channel, this.messageAuthenticator.sign(body), nowNanos);
		}
	}

	private void write(FrameChannel current, byte[] bytes, long nowNanos) {
		try {
			this.statistics.sentBytes.add(bytes.length);
			current.write(bytes);
		}
		catch (IOException ex) {
			fail(String.valueOf(ex.getMessage()), nowNanos);
		}
	}

	private void fail(String reason, long nowNanos) {
		if (this.failures == 0) {
			LOG.atInfo()
				.addKeyValue("event", "peer_link_down")
				.addKeyValue("vm", this.self)
				.addKeyValue("peer", this.peer)
				.addKeyValue("reason", reason)
				.log();
		}
		close();
		this.ring.clear();
		long longest = this.limits.longestBackoff().toNanos();
		long backoff = Math.min(longest, this.limits.firstBackoff().toNanos() << Math.min(this.failures, 20));
		this.failures++;
		this.retryNanos = nowNanos + backoff / 2 + this.jitter.nextLong(backoff / 2 + 1);
	}

	void close() {
		this.down = true;
		FrameChannel current = this.channel;
		if (current != null) {
			current.close();
		}
		this.channel = null;
		this.socket = null;
		this.messageAuthenticator = null;
		this.acknowledgementAuthenticator = null;
	}

}
