package org.skylarkstack.request;

import org.skylarkstack.kernel.Plugin;
import org.skylarkstack.kernel.PluginRegistry;
import org.skylarkstack.peer.PeerMessageType;

/**
 * Registers the peer message types of the request path.
 */
public final class RequestPlugin implements Plugin {

	private static final int CRASH_REPORT = 40;

	private static final int CRASH_REPORT_ACK = 41;

	@Override
	public void register(PluginRegistry registry) {
		registry.add(PeerMessageType.class, "crash-report", () -> new PeerMessageType(CRASH_REPORT, CrashReport.class));
		registry.add(PeerMessageType.class, "crash-report-ack",
				() -> new PeerMessageType(CRASH_REPORT_ACK, CrashReportAck.class));
	}

}
