package org.skylarkstack.edge;

import java.io.ByteArrayOutputStream;

/**
 * Body of a request that is being received. It is not copied if its length was announced.
 */
final class RequestBodyStream extends ByteArrayOutputStream {

	/**
	 * Creates an empty body.
	 * @param announcedBytes the announced length in bytes, or 0 if it is unknown
	 */
	RequestBodyStream(int announcedBytes) {
		super(announcedBytes);
	}

	@Override
	public synchronized byte[] toByteArray() {
		return (this.count == this.buf.length) ? this.buf : super.toByteArray();
	}

}
