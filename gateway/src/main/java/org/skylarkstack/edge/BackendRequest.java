package org.skylarkstack.edge;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Request for a backend server.
 *
 * @param address the server's address
 * @param method the method
 * @param target the path and query
 * @param headers the headers, without those that frame the body
 * @param body the body
 * @param echo the name of the header that the answer repeats, or {@code null} if it
 * repeats none
 */
public record BackendRequest(InetSocketAddress address, String method, String target, HttpHeaders headers, byte[] body,
		@Nullable String echo) {

}
