package org.skylarkstack.peer;

import java.util.concurrent.atomic.LongAdder;

/**
 * Counters that the links of a running transport increment.
 */
final class TransportStatistics {

	final LongAdder sentMessages = new LongAdder();

	final LongAdder sentBytes = new LongAdder();

	final LongAdder receivedMessages = new LongAdder();

	final LongAdder receivedBytes = new LongAdder();

	final LongAdder droppedFull = new LongAdder();

	final LongAdder rejectedFrames = new LongAdder();

	final LongAdder unknownPeers = new LongAdder();

	final LongAdder droppedRate = new LongAdder();

	final LongAdder replacedSilent = new LongAdder();

	TransportCounters snapshot() {
		return new TransportCounters(this.sentMessages.sum(), this.sentBytes.sum(), this.receivedMessages.sum(),
				this.receivedBytes.sum(), this.droppedFull.sum(), this.rejectedFrames.sum(), this.unknownPeers.sum(),
				this.droppedRate.sum(), this.replacedSilent.sum());
	}

}
