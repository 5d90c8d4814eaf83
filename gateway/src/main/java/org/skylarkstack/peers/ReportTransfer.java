package org.skylarkstack.peers;

import java.util.List;

/**
 * Usage reports that a daemon sends to some of its peers.
 *
 * @param reports the reports, in the order in which they are sent
 * @param targets the daemons that receive all of them
 * @param relayed whether reports of other daemons may be among them
 */
record ReportTransfer(List<UsageReport> reports, List<Peer> targets, boolean relayed) {

	/**
	 * Creates a transfer with unmodifiable copies of the lists.
	 */
	ReportTransfer {
		reports = List.copyOf(reports);
		targets = List.copyOf(targets);
	}

	/**
	 * Creates the transfer of a daemon's own report.
	 * @param report the report
	 * @param targets the daemons that receive it
	 * @return the transfer
	 */
	static ReportTransfer own(UsageReport report, List<Peer> targets) {
		return new ReportTransfer(List.of(report), targets, false);
	}

}
