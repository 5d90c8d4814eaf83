package org.skylarkstack.peer;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.membership.Heartbeat;
import org.skylarkstack.membership.LoanOffer;
import org.skylarkstack.membership.MembershipTiming;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.settings.ListenAddress;
import org.skylarkstack.settings.PeerSettings;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards delivery, authentication and recovery of connections on loopback. The timeouts
 * only prevent a test from hanging; no test depends on the duration of a step.
 */
class TcpPeerTransportTests {

	private static final String SECRET = "secret-of-the-tests";

	private static final String LOOPBACK = "127.0.0.1";

	private static final int WAIT_SECONDS = 20;

	private static final TransportLimits LIMITS = new TransportLimits(1024, 1 << 24, Duration.ofSeconds(1),
			Duration.ofMillis(20), Duration.ofMillis(500), Duration.ofMillis(10), Duration.ofMillis(50));

	private final List<AutoCloseable> open = new ArrayList<>();

	private static int freePort() throws IOException {
		try (ServerSocket socket = new ServerSocket(0)) {
			return socket.getLocalPort();
		}
	}

	private TcpPeerTransport transport(String self, int port, String secret, String peer, int peerPort) {
		TcpPeerTransport transport = new TcpPeerTransport(self, new ListenAddress(LOOPBACK, port),
				List.of(new PeerSettings(peer, "dc", new ListenAddress(LOOPBACK, peerPort))), secret,
				new PeerCodec(PluginRegistry.load()), LIMITS, TimeSource.system(), new Random(1));
		this.open.add(transport);
		return transport;
	}

	private static BlockingQueue<Heartbeat> inbox(TcpPeerTransport transport) {
		BlockingQueue<Heartbeat> inbox = new LinkedBlockingQueue<>();
		transport.handle(Heartbeat.class, (from, message) -> inbox.add(message));
		return inbox;
	}

	private static Heartbeat heartbeat(long number) {
		return new Heartbeat("dc", number, -number, 0, 0, 3, false, new LoanOffer(new byte[] { 1, 2 }, 7, 5));
	}

	private static void await(String what, BooleanSupplier condition) throws InterruptedException {
		long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
		while (!condition.getAsBoolean()) {
			assertWithMessage(what).that(System.nanoTime() < deadline).isTrue();
			Thread.sleep(5);
		}
	}

	private static Heartbeat next(BlockingQueue<Heartbeat> inbox) throws InterruptedException {
		return Objects.requireNonNull(inbox.poll(WAIT_SECONDS, TimeUnit.SECONDS), "no message arrived");
	}

	@AfterEach
	void close() throws Exception {
		for (AutoCloseable closeable : this.open) {
			closeable.close();
		}
	}

	/** Guards against lost, reordered or altered messages on a healthy connection. */
	@Test
	void messagesArriveInOrder() throws Exception {
		int portA = freePort();
		int portB = freePort();
		TcpPeerTransport a = transport("a", portA, SECRET, "b", portB);
		TcpPeerTransport b = transport("b", portB, SECRET, "a", portA);
		BlockingQueue<Heartbeat> inbox = inbox(b);
		BlockingQueue<Heartbeat> own = inbox(a);
		b.start();
		a.start();
		for (int number = 1; number <= 500; number++) {
			assertThat(a.send("b", heartbeat(number))).isTrue();
		}
		assertThat(a.send("a", heartbeat(1000))).isTrue();
		for (int number = 1; number <= 500; number++) {
			Heartbeat received = next(inbox);
			assertThat(received.incarnation()).isEqualTo(number);
			assertThat(Objects.requireNonNull(received.loan()).shards()).isEqualTo(new byte[] { 1, 2 });
		}
		assertThat(next(own).incarnation()).isEqualTo(1000);
		assertThat(a.send("unknown", heartbeat(1))).isFalse();
		assertThat(a.counters().sentMessages()).isEqualTo(500);
	}

	/**
	 * Guards against accepting messages from daemons with another shared secret and from
	 * unknown VMs.
	 */
	@Test
	void wrongSecretAndUnknownPeersAreDropped() throws Exception {
		int portA = freePort();
		int portB = freePort();
		TcpPeerTransport b = transport("b", portB, SECRET, "a", portA);
		BlockingQueue<Heartbeat> inbox = inbox(b);
		b.start();
		TcpPeerTransport wrong = transport("a", portA, SECRET + "x", "b", portB);
		wrong.start();
		wrong.send("b", heartbeat(1));
		await("a wrong HMAC is counted", () -> b.counters().rejectedFrames() > 0);
		TcpPeerTransport unknown = transport("c", freePort(), SECRET, "b", portB);
		unknown.start();
		unknown.send("b", heartbeat(2));
		await("an unknown peer is counted", () -> b.counters().unknownPeers() > 0);
		assertThat(inbox).isEmpty();
	}

	/**
	 * Guards against replay: a recorded hello and frame sent on a new connection, and a
	 * frame repeated on the same connection.
	 */
	@Test
	void replayedFramesAreDropped() throws Exception {
		int portA = freePort();
		TcpPeerTransport b = transport("b", freePort(), SECRET, "a", portA);
		BlockingQueue<Heartbeat> inbox = inbox(b);
		b.start();
		byte[] nonce = new byte[FrameAuthenticator.NONCE_BYTES];
		byte[] body = new PeerCodec(PluginRegistry.load()).encode(heartbeat(7));
		byte[] recordedHello;
		byte[] recordedFrame;
		try (Socket socket = new Socket(InetAddress.getByName(LOOPBACK), b.port())) {
			FrameAuthenticator authenticator = Handshake.messageAuthenticator(SECRET, "a", "b", nonce,
					readNonce(socket));
			recordedHello = Handshake.hello("a", nonce, authenticator);
			recordedFrame = authenticator.sign(body);
			write(socket, recordedHello, recordedFrame, recordedFrame);
			assertThat(next(inbox).incarnation()).isEqualTo(7);
			await("the repeated frame is counted", () -> b.counters().rejectedFrames() == 1);
		}
		try (Socket socket = new Socket(InetAddress.getByName(LOOPBACK), b.port())) {
			readNonce(socket);
			write(socket, recordedHello, recordedFrame);
			await("the recorded hello is counted", () -> b.counters().rejectedFrames() == 2);
		}
		assertThat(inbox).isEmpty();
	}

	private static byte[] readNonce(Socket socket) throws IOException {
		InputStream in = socket.getInputStream();
		byte[] challenge = in.readNBytes(Integer.BYTES + 1 + FrameAuthenticator.NONCE_BYTES);
		assertThat(ByteBuffer.wrap(challenge).getInt()).isEqualTo(1 + FrameAuthenticator.NONCE_BYTES);
		return Arrays.copyOfRange(challenge, Integer.BYTES + 1, challenge.length);
	}

	private static void write(Socket socket, byte[]... frames) throws IOException {
		OutputStream out = socket.getOutputStream();
		for (byte[] frame : frames) {
			out.write(frame);
		}
		out.flush();
	}

	/**
	 * Guards against a broken connection that is never replaced although a new connection
	 * would work.
	 */
	@Test
	void silentConnectionIsReplaced() throws Exception {
		int portA = freePort();
		int portB = freePort();
		TcpPeerTransport a = transport("a", portA, SECRET, "b", portB);
		TcpPeerTransport b = transport("b", portB, SECRET, "a", portA);
		BlockingQueue<Heartbeat> inbox = inbox(b);
		b.start();
		a.start();
		a.send("b", heartbeat(1));
		assertThat(next(inbox).incarnation()).isEqualTo(1);
		b.blockPeer("a", true);
		await("the silent connection is replaced", () -> a.counters().replacedSilent() > 0);
		b.blockPeer("a", false);
		await("messages pass again", () -> {
			a.send("b", heartbeat(2));
			return !inbox.isEmpty();
		});
		assertThat(next(inbox).incarnation()).isEqualTo(2);
	}

	/** Guards against a link that does not recover when its peer restarts. */
	@Test
	void linkRecoversAfterARestartOfThePeer() throws Exception {
		int portA = freePort();
		int portB = freePort();
		TcpPeerTransport a = transport("a", portA, SECRET, "b", portB);
		TcpPeerTransport first = transport("b", portB, SECRET, "a", portA);
		first.start();
		a.start();
		a.send("b", heartbeat(1));
		first.close();
		TcpPeerTransport second = transport("b", portB, SECRET, "a", portA);
		BlockingQueue<Heartbeat> inbox = inbox(second);
		second.start();
		await("messages reach the new process", () -> {
			a.send("b", heartbeat(2));
			return !inbox.isEmpty();
		});
	}

	/**
	 * Guards against encoding messages over 1 MiB and decoding unknown or malformed
	 * messages.
	 */
	@Test
	void codecRefusesLongAndUnknownMessages() {
		PeerCodec codec = new PeerCodec(PluginRegistry.load());
		Heartbeat large = new Heartbeat("dc", 1, 1, 1, 1, 1, false, new LoanOffer(new byte[1 << 20], 7, 1));
		assertThat(rejects(() -> codec.encode(large))).isTrue();
		assertThat(rejects(() -> codec.decode(new byte[] { 0x7f, 0x7f, 0 }))).isTrue();
		assertThat(rejects(() -> codec.decode(new byte[] { 0, 2, 0x01 }))).isTrue();
		assertThat(codec.decode(codec.encode(new Heartbeat("dc", 1, 2, 3, 4, 5, true, null))))
			.isEqualTo(new Heartbeat("dc", 1, 2, 3, 4, 5, true, null));
	}

	/** Guards the control-traffic budget of 12 KB/s per daemon in a fleet of 350. */
	@Test
	void heartbeatsOfALargeFleetStayInTheBudget() {
		long period = MembershipTiming.DEFAULT.periodNanos(350);
		long now = 1L << 60;
		Heartbeat heartbeat = new Heartbeat("data-centre-5", now, now, now, now, now, false,
				new LoanOffer(new byte[7], 350, now));
		int frame = new PeerCodec(PluginRegistry.load()).encode(heartbeat).length + FrameAuthenticator.OVERHEAD_BYTES;
		Duration acknowledged = TransportLimits.forPeriod(period).probePeriod().dividedBy(2);
		double bytesPerSecond = 349
				* (frame / (period / 1e9) + FrameAuthenticator.OVERHEAD_BYTES / (acknowledged.toNanos() / 1e9));
		System.out.printf("heartbeat_frame_bytes=%d control_bytes_per_second=%.0f%n", frame, bytesPerSecond);
		assertThat(bytesPerSecond).isLessThan(12_000.0);
	}

	private static boolean rejects(Runnable action) {
		try {
			action.run();
			return false;
		}
		catch (IllegalArgumentException ex) {
			return true;
		}
	}

}
