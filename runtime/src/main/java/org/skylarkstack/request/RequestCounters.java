package org.skylarkstack.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the request path since start.
 */
public final class RequestCounters {

	private final AtomicLong retries = new AtomicLong();

	private final AtomicLong resumes = new AtomicLong();

	private final AtomicLong repeatedEvents = new AtomicLong();

	private final AtomicLong prefillTokens = new AtomicLong();

	private final AtomicLong wastedPrefillTokens = new AtomicLong();

	void recordFurtherAttempt(boolean resume) {
		(resume ? this.resumes : this.retries).incrementAndGet();
	}

	void recordRepeatedEvent() {
		this.repeatedEvents.incrementAndGet();
	}

	void recordPrefill(long tokens, boolean again) {
		this.prefillTokens.addAndGet(tokens);
		if (again) {
			this.wastedPrefillTokens.addAndGet(tokens);
		}
	}

	void recordWastedPrefill(long tokens) {
		this.wastedPrefillTokens.addAndGet(tokens);
	}

	/**
	 * Returns the attempts that began an answer anew.
	 * @return the count
	 */
	public long retries() {
		return this.retries.get();
	}

	/**
	 * Returns the attempts that went on with a lost stream.
	 * @return the count
	 */
	public long resumes() {
		return this.resumes.get();
	}

	/**
	 * Returns the events that engines sent although the caller had them.
	 * @return the count
	 */
	public long repeatedEvents() {
		return this.repeatedEvents.get();
	}

	/**
	 * Returns the prompt tokens that were prefilled.
	 * @return the count
	 */
	public long prefillTokens() {
		return this.prefillTokens.get();
	}

	/**
	 * Returns the prompt tokens that were prefilled again or for no whole answer.
	 * @return the count
	 */
	public long wastedPrefillTokens() {
		return this.wastedPrefillTokens.get();
	}

}
