package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete HTTP request of a caller.
 *
 * @param method the HTTP method
 * @param target the path and query, as sent by the caller
 * @param headers the headers
 * @param body the body, empty if there is none
 * @param keepAlive whether the caller requests that the connection stays open after the
 * response
 * @param arrival how the request arrived
 */
public record CallerRequest(String method, String target, HttpHeaders headers, byte[] body, boolean keepAlive,
		RequestArrival arrival) {

	/**
	 * Returns the path without the query.
	 * @return the path, as sent by the caller
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
