package org.skylarkstack.request;

import java.util.List;

import org.skylarkstack.peer.PeerMessage;

/**
 * Peer message: a request crashed an engine, or has since run to its end and is no longer
 * a suspect, or its messages have been in a response that started.
 *
 * @param fingerprint the hash of team, path and body
 * @param crashId the id of the attempt whose engine crashed; unique for each crash
 * @param engineId the engine that crashed, or an empty string if {@code cleared}
 * @param cleared whether the request has since run to its end and is no longer a suspect,
 * or its messages are no longer suspects
 * @param messages keys of the messages that other requests may have in common with the
 * request
 * @param started whether the response had started
 */
public record CrashReport(String fingerprint, String crashId, String engineId, boolean cleared, List<String> messages,
		boolean started) implements PeerMessage {

	/**
	 * Creates a report with an unmodifiable copy of the messages.
	 */
	public CrashReport {
		messages = List.copyOf(messages);
	}

}
