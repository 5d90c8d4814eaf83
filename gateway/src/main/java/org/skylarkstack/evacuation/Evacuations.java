package org.skylarkstack.evacuation;

import java.util.HashSet;
import java.util.Set;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The data centres that the operators have evacuated, by the rows of the platform's
 * store.
 *
 * <p>
 * A row that is missing after a restore of the store may only have been lost. Its
 * evacuation ends with the first reply some seconds after the restore that still contains
 * no row, because the operators write their rows again in that time. Confined to one
 * thread.
 */
public final class Evacuations {

	private static final Logger log = LoggerFactory.getLogger(Evacuations.class);

	// Time in which the operators write their rows again after a restore.
	private static final long REWRITE_NANOS = 2_000_000_000L;

	private final Set<String> evacuated = new HashSet<>();

	// Evacuated data centres whose rows were missing after a restore.
	private final Set<String> missing = new HashSet<>();

	private boolean restored;

	private long restoredNanos;

	/**
	 * Returns whether a data centre is evacuated.
	 * @param dataCentre the name of the data centre
	 * @return whether nothing may be sent to its servers
	 */
	public boolean contains(String dataCentre) {
		return this.evacuated.contains(dataCentre);
	}

	/**
	 * Returns whether no data centre is evacuated.
	 * @return whether there is none
	 */
	public boolean isEmpty() {
		return this.evacuated.isEmpty();
	}

	/**
	 * Begins an evacuation, because its row was written.
	 * @param dataCentre the name of the data centre
	 */
	public void begin(String dataCentre) {
		this.missing.remove(dataCentre);
		if (this.evacuated.add(dataCentre)) {
			log("evacuation-began", dataCentre);
		}
	}

	/**
	 * Ends an evacuation, because its row was removed.
	 * @param dataCentre the name of the data centre
	 */
	public void end(String dataCentre) {
		this.missing.remove(dataCentre);
		if (this.evacuated.remove(dataCentre)) {
			log("evacuation-ended", dataCentre);
		}
	}

	/**
	 * Replaces the evacuations by those of a complete read.
	 * @param dataCentres the data centres that have a row
	 */
	public void replace(Set<String> dataCentres) {
		dataCentres.forEach(this::begin);
		for (String dataCentre : Set.copyOf(this.evacuated)) {
			if (dataCentres.contains(dataCentre)) {
				continue;
			}
			if (!this.restored) {
				end(dataCentre);
			}
			else if (this.missing.add(dataCentre)) {
				log("evacuation-end-deferred", dataCentre);
			}
		}
	}

	/**
	 * Records that the store has returned from an older copy.
	 * @param nowNanos the current monotonic time in nanoseconds
	 */
	public void recordRestored(long nowNanos) {
		this.restored = true;
		this.restoredNanos = nowNanos;
	}

	/**
	 * Records that all rows have been received that were written before a call was sent.
	 * @param sentNanos when the call was sent, as monotonic time in nanoseconds
	 */
	public void recordUpToDate(long sentNanos) {
		if (this.restored && sentNanos - this.restoredNanos >= REWRITE_NANOS) {
			this.restored = false;
			Set.copyOf(this.missing).forEach(this::end);
		}
	}

	private static void log(String event, String dataCentre) {
		log.atWarn().addKeyValue("event", event).addKeyValue("dataCentre", dataCentre).log();
	}

}
