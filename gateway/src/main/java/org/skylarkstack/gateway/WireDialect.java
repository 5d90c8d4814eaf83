package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.edge.CallerRequest;

/**
 * Encodes and decodes the platform-specific headers and bodies that callers, this gateway
 * and backend servers exchange.
 */
public interface WireDialect {

	/**
	 * Decodes the properties that a caller states about its request.
	 * @param request the request as received
	 * @return the properties
	 */
	RequestFacts facts(CallerRequest request);

	/**
	 * Encodes an attempt of a request.
	 * @param address the address of the server
	 * @param request the caller's request
	 * @param plan the parameters of the attempt
	 * @return the message for the server
	 */
	BackendRequest encode(InetSocketAddress address, CallerRequest request, CallPlan plan);

	/**
	 * Encodes the release of a prefill result that no decode engine will fetch.
	 * @param source the location of the result
	 * @return the message for the engine
	 */
	BackendRequest encodeRelease(CallPlan.KvSource source);

	/**
	 * Decodes the head of a server's response.
	 * @param status the HTTP status
	 * @param headers the headers
	 * @return the properties that the head states
	 */
	ResponseHead responseHead(int status, HttpHeaders headers);

	/**
	 * Selects the headers of a server's response that are forwarded to the caller.
	 * @param headers the server's headers
	 * @return the headers without hop-by-hop headers
	 */
	HttpHeaders forwardedHeaders(HttpHeaders headers);

	/**
	 * Decodes the body of the response to a prefill request.
	 * @param body the body
	 * @return the handle of the prefill result, or {@code null} if the body is malformed
	 */
	@Nullable String prefillHandle(byte[] body);

	/**
	 * Creates the headers of a response that the gateway itself generates.
	 * @param requestId the identifier of the request
	 * @return the headers
	 */
	HttpHeaders gatewayResponseHeaders(String requestId);

}
