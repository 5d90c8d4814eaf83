package org.skylarkstack.edge;

import java.io.ByteArrayOutputStream;

/**
 * Body of one response, as far as it has been received. Its size is bounded by a
 * {@link BodyBudget}. Confined to one thread.
 */
public final class BodyBuffer {

	private final BodyBudget budget;

	private final Runnable overflowAction;

	private ByteArrayOutputStream bytes = new ByteArrayOutputStream(0);

	private boolean released;

	BodyBuffer(BodyBudget budget, Runnable overflowAction) {
		this.budget = budget;
		this.overflowAction = overflowAction;
	}

	/**
	 * Appends a part of the body. Has no effect on a released buffer.
	 * @param part the bytes
	 */
	public void append(byte[] part) {
		if (!this.released && part.length > 0) {
			this.bytes.writeBytes(part);
			this.budget.grown(this, part.length);
		}
	}

	/**
	 * Returns the body.
	 * @return a copy of the bytes received so far; empty if the buffer was released
	 */
	public byte[] toByteArray() {
		return this.bytes.toByteArray();
	}

	int size() {
		return this.bytes.size();
	}

	/** Discards the bytes and returns their size to the budget. */
	public void release() {
		if (!this.released) {
			this.released = true;
			int size = this.bytes.size();
			this.bytes = new ByteArrayOutputStream(0);
			this.budget.released(this, size);
		}
	}

	void drop() {
		release();
		this.overflowAction.run();
	}

}
