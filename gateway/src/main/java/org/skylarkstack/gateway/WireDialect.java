package org.skylarkstack.gateway;

import java.net.InetSocketAddress;

import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.edge.CallerRequest;

/**
 * Names and formats that a platform uses between callers, this gateway and backend
 * servers.
 */
public interface WireDialect {

	/**
	 * Decodes what a caller says about its request.
	 * @param request the request
	 * @return the facts
	 */
	RequestFacts facts(CallerRequest request);

	/**
	 * Encodes an attempt of a request.
	 * @param address the server
	 * @param request the caller's request
	 * @param plan how it is sent
	 * @return the message for the server
	 */
	BackendRequest encode(InetSocketAddress address, CallerRequest request, CallPlan plan);

	/**
	 * Encodes the release of a prefill result that nobody will take.
	 * @param source the result
	 * @return the message for the engine
	 */
	BackendRequest encodeRelease(CallPlan.KvSource source);

	/**
	 * Decodes the head of a server's answer.
	 * @param status the HTTP status
	 * @param headers the headers
	 * @return the facts
	 */
	AnswerFacts answer(int status, HttpHeaders headers);

	/**
	 * Selects the headers of a server's answer that the caller gets.
	 * @param headers the server's headers
	 * @return the headers without those of one connection
	 */
	HttpHeaders relayed(HttpHeaders headers);

	/**
	 * Decodes the answer to a prefill.
	 * @param body the body
	 * @return the handle, or {@code null} if the body is not understood
	 */
	@Nullable String prefillHandle(byte[] body);

	/**
	 * Creates the headers of an answer of the gateway's own.
	 * @param requestId the request
	 * @return the headers
	 */
	HttpHeaders ownAnswer(String requestId);

}
