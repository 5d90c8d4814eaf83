package org.skylarkstack.engine;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Prevents OkHttp from repeating a request. After a response with status 503 and
 * {@code Retry-After: 0}, OkHttp sends the request again even if its retries are
 * disabled. This interceptor therefore renames the header, so that OkHttp does not act on
 * it.
 */
final class NoRetryInterceptor implements Interceptor {

	static final String BACKEND_RETRY_AFTER = "X-Skylark-Backend-Retry-After";

	private static final String RETRY_AFTER = "Retry-After";

	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = chain.proceed(chain.request());
		String retryAfter = response.header(RETRY_AFTER);
		if (retryAfter == null) {
			return response;
		}
		return response.newBuilder().removeHeader(RETRY_AFTER).header(BACKEND_RETRY_AFTER, retryAfter).build();
	}

}
