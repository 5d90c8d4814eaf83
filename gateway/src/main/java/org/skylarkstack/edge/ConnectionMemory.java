package org.skylarkstack.edge;

/**
 * Memory that one connection of a caller has reserved. Confined to one thread.
 */
final class ConnectionMemory {

	private final RequestBodyBudget bodyBudget;

	private final ConnectionMemoryBudget budget;

	private final long[] amounts = new long[Kind.values().length];

	// Reserved for the body that is being received.
	private long receivingBytes;

	// Reserved for the bodies of all requests that have not been answered.
	private long bodyBytes;

	private long otherBytes;

	ConnectionMemory(RequestBodyBudget bodyBudget, ConnectionMemoryBudget budget) {
		this.bodyBudget = bodyBudget;
		this.budget = budget;
	}

	long receivingBytes() {
		return this.receivingBytes;
	}

	boolean tryReserveBody(long bytes) {
		if (!this.bodyBudget.tryReserve(this.receivingBytes, bytes)) {
			return false;
		}
		this.receivingBytes += bytes;
		this.bodyBytes += bytes;
		return true;
	}

	/** The body has been received completely and stays reserved. */
	void bodyReceived() {
		this.receivingBytes = 0;
	}

	/** Releases the body that is being received. */
	void releaseReceiving() {
		releaseBody(this.receivingBytes);
		this.receivingBytes = 0;
	}

	void releaseBody(long bytes) {
		this.bodyBytes -= bytes;
		this.bodyBudget.release(bytes);
	}

	long amount(Kind kind) {
		return this.amounts[kind.ordinal()];
	}

	/**
	 * Changes the memory that is reserved for one purpose.
	 * @param kind the purpose
	 * @param bytes the new size in bytes
	 * @return whether the size has been changed; it always is if it does not grow
	 */
	boolean trySet(Kind kind, long bytes) {
		long further = bytes - amount(kind);
		if (further > 0 && !this.budget.tryReserve(this.otherBytes, further)) {
			return false;
		}
		if (further < 0) {
			this.budget.add(further);
		}
		this.amounts[kind.ordinal()] = bytes;
		this.otherBytes += further;
		return true;
	}

	/**
	 * Records responses that the caller has not read, even beyond the budget.
	 * @param bytes the new size in bytes
	 */
	void setUnread(long bytes) {
		long further = bytes - amount(Kind.UNREAD_RESPONSES);
		this.budget.addUnread(further);
		this.amounts[Kind.UNREAD_RESPONSES.ordinal()] = bytes;
		this.otherBytes += further;
	}

	void releaseAll() {
		releaseBody(this.bodyBytes);
		this.receivingBytes = 0;
		setUnread(0);
		for (Kind kind : Kind.values()) {
			trySet(kind, 0);
		}
	}

	/**
	 * Purposes other than bodies.
	 */
	enum Kind {

		/** The head or the trailing fields that are being received. */
		ARRIVING_FIELDS,

		/** Heads of requests that have not been answered. */
		HEADS,

		/** Input that is not decoded yet because a request or a response comes first. */
		WAITING_INPUT,

		/** Responses that the caller has not read. */
		UNREAD_RESPONSES

	}

}
