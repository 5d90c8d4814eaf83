package org.skylarkstack.edge;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;

/**
 * HTTP request to a backend server.
 *
 * @param address the server's address
 * @param method the HTTP method
 * @param target the path and query
 * @param headers the headers, without those that delimit the body, such as
 * {@code Content-Length}
 * @param body the body, empty if there is none
 * @param echoedHeader the name of the request header that the server repeats in its
 * response, or {@code null} if it repeats none
 */
public record BackendRequest(InetSocketAddress address, String method, String target, HttpHeaders headers, byte[] body,
		@Nullable String echoedHeader) {

}
