package org.skylarkstack.request;

import java.io.EOFException;
import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.function.BooleanSupplier;

import org.skylarkstack.response.ResponseCompleteness;

/**
 * Body of a response. Reading its end fails if the response is incomplete.
 */
final class CheckedBodyStream extends FilterInputStream {

	private final ResponseCompleteness completeness;

	private final BooleanSupplier connectionFailed;

	/**
	 * Creates a stream.
	 * @param body the body as received
	 * @param completeness decides whether the response is complete
	 * @param connectionFailed whether the connection has failed
	 */
	CheckedBodyStream(InputStream body, ResponseCompleteness completeness, BooleanSupplier connectionFailed) {
		super(body);
		this.completeness = completeness;
		this.connectionFailed = connectionFailed;
	}

	@Override
	public int read() throws IOException {
		byte[] single = new byte[1];
		return (read(single, 0, 1) < 0) ? -1 : Byte.toUnsignedInt(single[0]);
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws IOException {
		int count = super.read(buffer, offset, length);
		if (count < 0 && !this.completeness.isComplete(this.connectionFailed.getAsBoolean())) {
			throw new EOFException("the response was broken off");
		}
		if (count > 0) {
			this.completeness.append(buffer, offset, count);
		}
		return count;
	}

}
