package org.skylarkstack.edge;

/**
 * Reasons for which a connection of a caller is refused or closed, with the names of
 * their log events.
 */
enum RefusalKind {

	/** The bodies of all requests together are too large. */
	BODY("request-body-refused"),

	/** The heads and the waiting input of all connections together are too large. */
	MEMORY("request-memory-refused"),

	/** There are too many connections. */
	CONNECTIONS("connection-closed-for-limit"),

	/**
	 * The responses that callers have not read are too large together, or one has not
	 * been read in time.
	 */
	UNREAD("unread-response-dropped");

	private final String event;

	RefusalKind(String event) {
		this.event = event;
	}

	String event() {
		return this.event;
	}

}
