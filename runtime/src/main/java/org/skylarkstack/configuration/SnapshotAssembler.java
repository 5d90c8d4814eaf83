package org.skylarkstack.configuration;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

/**
 * Reassembles the parts of one snapshot. The parts sent in response to a pull arrive in
 * order on one connection; a gap means that a part was lost, and the snapshot is not
 * completed.
 */
final class SnapshotAssembler {

	/**
	 * Maximum number of parts of a snapshot; bounds the memory that a faulty peer can
	 * consume.
	 */
	static final int MAX_PARTS = 128;

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private long pullId;

	private int nextPart;

	private long lastNanos;

	Optional<byte[]> add(ConfigurationSnapshot part, long nowNanos) {
		if (part.part() == 0) {
			reset();
			this.pullId = part.pullId();
		}
		if (part.pullId() != this.pullId || part.part() != this.nextPart || part.parts() > MAX_PARTS) {
			return Optional.empty();
		}
		this.bytes.writeBytes(part.bytes());
		this.nextPart++;
		this.lastNanos = nowNanos;
		if (this.nextPart < part.parts()) {
			return Optional.empty();
		}
		byte[] whole = this.bytes.toByteArray();
		reset();
		return Optional.of(whole);
	}

	boolean isReceiving(long nowNanos, long idleNanos) {
		return this.nextPart > 0 && nowNanos - this.lastNanos < idleNanos;
	}

	private void reset() {
		this.bytes.reset();
		this.pullId = 0;
		this.nextPart = 0;
	}

}
