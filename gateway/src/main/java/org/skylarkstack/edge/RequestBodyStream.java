package org.skylarkstack.edge;

import java.util.ArrayList;
import java.util.List;

import io.netty.buffer.ByteBuf;

/**
 * Body of a request that is being received. A body of announced length is not copied. Any
 * other grows by segments, so that it never occupies more than one segment beyond its
 * size, and is copied once when it is complete.
 */
final class RequestBodyStream {

	private static final int FIRST_SEGMENT_BYTES = 256;

	private static final int MAX_SEGMENT_BYTES = 64 * 1024;

	private final List<byte[]> fullSegments = new ArrayList<>(0);

	private byte[] segment;

	private int usedBytes;

	private int size;

	/**
	 * Creates an empty body.
	 * @param announcedBytes the announced length in bytes, or 0 if it is unknown
	 */
	RequestBodyStream(int announcedBytes) {
		this.segment = new byte[announcedBytes];
	}

	int size() {
		return this.size;
	}

	/**
	 * Appends a part.
	 * @param part the bytes, which are read
	 */
	void append(ByteBuf part) {
		this.size += part.readableBytes();
		while (part.isReadable()) {
			if (this.usedBytes == this.segment.length) {
				addSegment();
			}
			int bytes = Math.min(part.readableBytes(), this.segment.length - this.usedBytes);
			part.readBytes(this.segment, this.usedBytes, bytes);
			this.usedBytes += bytes;
		}
	}

	private void addSegment() {
		if (this.usedBytes > 0) {
			this.fullSegments.add(this.segment);
		}
		this.segment = new byte[Math.max(FIRST_SEGMENT_BYTES, Math.min(MAX_SEGMENT_BYTES, this.size))];
		this.usedBytes = 0;
	}

	/**
	 * Returns the body.
	 * @return the bytes received
	 */
	byte[] toByteArray() {
		if (this.fullSegments.isEmpty() && this.size == this.segment.length) {
			return this.segment;
		}
		byte[] bytes = new byte[this.size];
		int position = 0;
		for (byte[] full : this.fullSegments) {
			System.arraycopy(full, 0, bytes, position, full.length);
			position += full.length;
		}
		System.arraycopy(this.segment, 0, bytes, position, this.usedBytes);
		return bytes;
	}

}
