package org.skylarkstack.gateway;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Decides which of several statements about a backend server holds. Statements may arrive
 * late, and the store from which announcements are read may return to an older copy.
 *
 * <p>
 * A later incarnation replaces an earlier one, whose state is not carried over. Within an
 * incarnation, the statement with the higher sequence number holds, except that a server
 * that is leaving keeps leaving. A removed server stays removed until it announces itself
 * again with a higher sequence number. The store does not write an announcement that
 * differs in the sequence number only, so the number of an entry may be lower than the
 * server's, and only numbers of entries are compared. For the same reason an entry that
 * the store keeps for longer than that of a silent server counts as announced again. A
 * statement without a sequence number, such as a response, can only say that a server is
 * leaving.
 *
 * <p>
 * Only the last {@code MAX_REMOVED_SERVERS} removed servers are remembered. Confined to
 * one thread.
 */
final class AnnouncementOrder {

	static final int MAX_REMOVED_SERVERS = 1_024;

	private final Map<String, BackendNode> removedServers = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<String, BackendNode> eldest) {
			return size() > MAX_REMOVED_SERVERS;
		}

	};

	/**
	 * Decides what is known about a server after an announcement.
	 * @param known the announcement that holds, or {@code null} if the server is unknown
	 * or removed
	 * @param announced the announcement that was received
	 * @param confirmed whether the store has kept the announcement for longer than that
	 * of a silent server
	 * @return the announcement that holds now, or {@code null} if the server stays
	 * removed
	 */
	@Nullable BackendNode announce(@Nullable BackendNode known, BackendNode announced, boolean confirmed) {
		if (known != null) {
			return newer(known, announced);
		}
		BackendNode removed = this.removedServers.get(announced.id());
		if (removed == null) {
			return announced;
		}
		BackendNode newer = newer(removed, announced);
		boolean announcedAgain = confirmed || newer.startedMillis() > removed.startedMillis()
				|| newer.sequenceNumber() > removed.sequenceNumber();
		if (!announcedAgain) {
			this.removedServers.put(announced.id(), newer);
			return null;
		}
		this.removedServers.remove(announced.id());
		return newer;
	}

	private static BackendNode newer(BackendNode known, BackendNode announced) {
		if (!known.sameIncarnation(announced)) {
			return (announced.startedMillis() > known.startedMillis()) ? announced : known;
		}
		BackendNode later = (announced.sequenceNumber() >= known.sequenceNumber()) ? announced : known;
		return (known.draining() || announced.draining()) ? later.asDraining() : later;
	}

	/**
	 * Records that a server was removed.
	 * @param last the announcement that held
	 */
	void remove(BackendNode last) {
		this.removedServers.remove(last.id());
		this.removedServers.put(last.id(), last);
	}

}
