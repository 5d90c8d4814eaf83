package org.skylarkstack.request;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the request path since the start of the daemon.
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
	 * Returns the number of attempts that started a response again from its beginning.
	 * @return the count
	 */
	public long retries() {
		return this.retries.get();
	}

	/**
	 * Returns the number of attempts that resumed an interrupted stream.
	 * @return the count
	 */
	public long resumes() {
		return this.resumes.get();
	}

	/**
	 * Returns the number of events that engines sent although the caller already had
	 * them.
	 * @return the count
	 */
	public long repeatedEvents() {
		return this.repeatedEvents.get();
	}

	/**
	 * Returns the number of prompt tokens that were prefilled.
	 * @return the count
	 */
	public long prefillTokens() {
		return this.prefillTokens.get();
	}

	/**
	 * Returns the number of prompt tokens whose prefill was a repetition or led to no
	 * complete response.
	 * @return the count
	 */
	public long wastedPrefillTokens() {
		return this.wastedPrefillTokens.get();
	}

}
