package org.skylarkstack.edge;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Whole request of a caller.
 *
 * @param method the method
 * @param target the path and query as sent
 * @param headers the headers
 * @param body the body
 * @param keepAlive whether the caller keeps its connection after the answer
 */
public record CallerRequest(String method, String target, HttpHeaders headers, byte[] body, boolean keepAlive) {

	/**
	 * Returns the path without the query.
	 * @return the path as sent
	 */
	public String path() {
		int query = this.target.indexOf('?');
		return (query < 0) ? this.target : this.target.substring(0, query);
	}

}
