package org.skylarkstack.peers;

import java.util.List;

/**
 * Usage reports that a daemon sends to some of its peers.
 *
 * @param reports the reports, in the order in which they are sent
 * @param targets the daemons that receive all of them
 */
record ReportTransfer(List<UsageReport> reports, List<Peer> targets) {

	/**
	 * Creates a transfer with unmodifiable copies of the lists.
	 */
	ReportTransfer {
		reports = List.copyOf(reports);
		targets = List.copyOf(targets);
	}

}
