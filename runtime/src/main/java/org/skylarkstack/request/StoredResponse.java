package org.skylarkstack.request;

/**
 * Response stored with an idempotency claim.
 *
 * @param status the HTTP status
 * @param contentType the content type, or an empty string if there is none
 * @param body the body
 */
public record StoredResponse(int status, String contentType, byte[] body) {

	/**
	 * Largest body that is stored, in bytes. Rows of the table service hold 400 KB, and
	 * the body is stored as Base64.
	 */
	public static final int MAX_BODY_BYTES = 200 * 1024;

	/** Copies the body. */
	public StoredResponse {
		body = body.clone();
	}

	@Override
	public byte[] body() {
		return this.body.clone();
	}

}
