package org.skylarkstack.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * Encodes and verifies the handshake of a connection. The acceptor sends a challenge with
 * its nonce. The connector responds with a hello that contains its VM, its nonce and
 * proof of the shared secret. Both ends can then derive the keys of the connection.
 */
final class Handshake {

	private static final int MAX_VM_ID_BYTES = 256;

	private static final String MESSAGE_DIRECTION = "out";

	private static final String ACKNOWLEDGEMENT_DIRECTION = "acknowledgement";

	private static final byte[] PROOF = "hello".getBytes(StandardCharsets.UTF_8);

	private Handshake() {
	}

	static byte[] challenge(byte[] nonce) {
		return ByteBuffer.allocate(Integer.BYTES + 1 + nonce.length)
			.putInt(1 + nonce.length)
			.put(FrameAuthenticator.VERSION)
			.put(nonce)
			.array();
	}

	static byte @Nullable [] acceptorNonce(byte[] challenge) {
		if (challenge.length != 1 + FrameAuthenticator.NONCE_BYTES || challenge[0] != FrameAuthenticator.VERSION) {
			return null;
		}
		return Arrays.copyOfRange(challenge, 1, challenge.length);
	}

	// The proof in the hello is the first signed frame and takes the first sequence
	// number.
	static byte[] hello(String connector, byte[] connectorNonce, FrameAuthenticator authenticator) {
		byte[] name = connector.getBytes(StandardCharsets.UTF_8);
		byte[] proof = authenticator.sign(PROOF);
		int length = 1 + Short.BYTES + name.length + connectorNonce.length + proof.length;
		return ByteBuffer.allocate(Integer.BYTES + length)
			.putInt(length)
			.put(FrameAuthenticator.VERSION)
			.putShort((short) name.length)
			.put(name)
			.put(connectorNonce)
			.put(proof)
			.array();
	}

	// Returns null if the hello is malformed or its proof fails verification.
	static @Nullable Session verifyHello(byte[] hello, String secret, String acceptor, byte[] acceptorNonce) {
		ByteBuffer buffer = ByteBuffer.wrap(hello);
		if (hello.length < 1 + Short.BYTES || buffer.get() != FrameAuthenticator.VERSION) {
			return null;
		}
		int nameLength = buffer.getShort();
		if (nameLength < 0 || nameLength > MAX_VM_ID_BYTES
				|| buffer.remaining() <= nameLength + FrameAuthenticator.NONCE_BYTES + Integer.BYTES) {
			return null;
		}
		byte[] name = new byte[nameLength];
		byte[] nonce = new byte[FrameAuthenticator.NONCE_BYTES];
		buffer.get(name).get(nonce);
		byte[] proof = new byte[buffer.remaining() - Integer.BYTES];
		buffer.getInt();
		buffer.get(proof);
		String connector = new String(name, StandardCharsets.UTF_8);
		FrameAuthenticator incoming = messageAuthenticator(secret, connector, acceptor, nonce, acceptorNonce);
		if (!Arrays.equals(incoming.verify(proof), PROOF)) {
			return null;
		}
		return new Session(connector, incoming,
				acknowledgementAuthenticator(secret, connector, acceptor, nonce, acceptorNonce));
	}

	static FrameAuthenticator messageAuthenticator(String secret, String connector, String acceptor,
			byte[] connectorNonce, byte[] acceptorNonce) {
		return new FrameAuthenticator(FrameAuthenticator.sessionKey(secret, MESSAGE_DIRECTION, connector, acceptor,
				connectorNonce, acceptorNonce));
	}

	static FrameAuthenticator acknowledgementAuthenticator(String secret, String connector, String acceptor,
			byte[] connectorNonce, byte[] acceptorNonce) {
		return new FrameAuthenticator(FrameAuthenticator.sessionKey(secret, ACKNOWLEDGEMENT_DIRECTION, connector,
				acceptor, connectorNonce, acceptorNonce));
	}

	/**
	 * Connector and keys of a connection whose hello was verified.
	 */
	record Session(String connector, FrameAuthenticator incoming, FrameAuthenticator acknowledgements) {

	}

}
