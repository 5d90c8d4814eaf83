package org.skylarkstack.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.jspecify.annotations.Nullable;

/**
 * Signs and verifies the frames of one direction of one connection.
 *
 * <p>
 * A frame consists of a version byte, a sequence number, the body, and an HMAC-SHA256
 * over all of these. The key is derived from the shared secret, the nonces and names of
 * both ends, and the direction. Therefore a frame recorded on one connection fails
 * verification on any other, and replays on the same connection are rejected because the
 * sequence number must increase by one with each frame. Not thread-safe.
 */
final class FrameAuthenticator {

	static final byte VERSION = 1;

	static final int NONCE_BYTES = 16;

	static final int MAC_BYTES = 32;

	/** Bytes added to a body: length prefix, version, sequence number and HMAC. */
	static final int OVERHEAD_BYTES = Integer.BYTES + 1 + Long.BYTES + MAC_BYTES;

	private static final String ALGORITHM = "HmacSHA256";

	private final Mac mac;

	private long sequence;

	FrameAuthenticator(byte[] key) {
		this.mac = mac(key);
	}

	static byte[] sessionKey(String secret, String direction, String connector, String acceptor, byte[] connectorNonce,
			byte[] acceptorNonce) {
		Mac mac = mac(secret.getBytes(StandardCharsets.UTF_8));
		for (String part : new String[] { "skylarkstack-peer", direction, connector, acceptor }) {
			byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
			mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
			mac.update(bytes);
		}
		mac.update(VERSION);
		mac.update(connectorNonce);
		return mac.doFinal(acceptorNonce);
	}

	private static Mac mac(byte[] key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("HMAC-SHA256 is not available", ex);
		}
	}

	/**
	 * Signs a body.
	 * @param body the body, at most {@link PeerCodec#MAX_MESSAGE_BYTES} long
	 * @return the frame with its length prefix
	 */
	byte[] sign(byte[] body) {
		ByteBuffer frame = ByteBuffer.allocate(OVERHEAD_BYTES + body.length);
		frame.putInt(OVERHEAD_BYTES - Integer.BYTES + body.length).put(VERSION).putLong(++this.sequence).put(body);
		this.mac.update(frame.array(), Integer.BYTES, frame.position() - Integer.BYTES);
		return frame.put(this.mac.doFinal()).array();
	}

	/**
	 * Verifies a frame and extracts its body.
	 * @param frame the frame without its length prefix
	 * @return the body, or {@code null} if the HMAC is wrong, or the frame is out of
	 * sequence or of another version
	 */
	byte @Nullable [] verify(byte[] frame) {
		int bodyStart = 1 + Long.BYTES;
		int bodyEnd = frame.length - MAC_BYTES;
		if (bodyEnd < bodyStart || frame[0] != VERSION) {
			return null;
		}
		this.mac.update(frame, 0, bodyEnd);
		if (!MessageDigest.isEqual(this.mac.doFinal(), Arrays.copyOfRange(frame, bodyEnd, frame.length))
				|| ByteBuffer.wrap(frame).getLong(1) != this.sequence + 1) {
			return null;
		}
		this.sequence++;
		return Arrays.copyOfRange(frame, bodyStart, bodyEnd);
	}

}
