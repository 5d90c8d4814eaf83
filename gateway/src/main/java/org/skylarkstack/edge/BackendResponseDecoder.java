package org.skylarkstack.edge;

import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpStatusClass;

/**
 * Decodes the response to one call. A status line that HTTP/1.x does not allow (RFC 9112,
 * section 4; RFC 9110, section 15) makes the response malformed: the super class accepts
 * any number as a status and any name as a protocol.
 */
final class BackendResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_HEADER_BYTES = 32 * 1024;

	private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[0-9]");

	private static final Pattern STATUS = Pattern.compile("[1-5][0-9]{2}");

	private final BooleanSupplier respondsToHead;

	/**
	 * Creates a decoder.
	 * @param respondsToHead whether the method of the request is {@code HEAD}
	 */
	BackendResponseDecoder(BooleanSupplier respondsToHead) {
		super(new HttpDecoderConfig().setMaxHeaderSize(MAX_HEADER_BYTES));
		this.respondsToHead = respondsToHead;
	}

	@Override
	protected HttpMessage createMessage(String[] statusLine) {
		if (!VERSION.matcher(statusLine[0]).matches() || !STATUS.matcher(statusLine[1]).matches()) {
			throw new IllegalArgumentException("not a status line: " + String.join(" ", statusLine));
		}
		return super.createMessage(statusLine);
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean informational = message instanceof HttpResponse response
				&& response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
		return (!informational && this.respondsToHead.getAsBoolean()) || super.isContentAlwaysEmpty(message);
	}

}
