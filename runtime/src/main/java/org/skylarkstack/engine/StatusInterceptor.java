package org.skylarkstack.engine;

import java.io.IOException;
import java.net.ProtocolException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Fails calls whose response has a status outside of those of HTTP (RFC 9110, section
 * 15). OkHttp passes on any number that is not negative.
 */
final class StatusInterceptor implements Interceptor {

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	@Override
	public Response intercept(Chain chain) throws IOException {
		Response response = proceed(chain);
		if (response.code() < MIN_STATUS || response.code() > MAX_STATUS) {
			response.close();
			throw new ProtocolException("not a status: " + response.code());
		}
		return response;
	}

	private static Response proceed(Chain chain) throws IOException {
		try {
			return chain.proceed(chain.request());
		}
		catch (IllegalStateException ex) {
			// OkHttp does not expect a negative status.
			IOException failure = new ProtocolException("not a response");
			failure.initCause(ex);
			throw failure;
		}
	}

}
