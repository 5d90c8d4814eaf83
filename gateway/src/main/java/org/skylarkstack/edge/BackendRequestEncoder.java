package org.skylarkstack.edge;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;

/**
 * Encodes requests to backend servers. The target has one character for each byte that
 * the caller has sent, like the values of headers; Netty would encode it as UTF-8, and
 * the server would get another path.
 */
final class BackendRequestEncoder extends HttpRequestEncoder {

	@Override
	protected void encodeInitialLine(ByteBuf buffer, HttpRequest request) {
		write(buffer, request.method().name());
		buffer.writeByte(HttpConstants.SP);
		write(buffer, request.uri());
		buffer.writeByte(HttpConstants.SP);
		write(buffer, request.protocolVersion().text());
		buffer.writeByte(HttpConstants.CR).writeByte(HttpConstants.LF);
	}

	private static void write(ByteBuf buffer, String text) {
		buffer.writeCharSequence(text, StandardCharsets.ISO_8859_1);
	}

}
