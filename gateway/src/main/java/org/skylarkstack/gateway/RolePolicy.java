package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether an engine of a pool should change its role.
 *
 * <p>
 * The policy corrects a pool in which the engines of one role are idle while the other
 * role lacks capacity: responses of thousands of tokens fill the memory of the decode
 * engines while prefill engines have nothing to do, or the reverse. An engine moves only
 * if the load of the role that it leaves stays well below the capacity of the remaining
 * engines.
 */
final class RolePolicy {

	// Bursts double the usual load, which the remaining prefill engines must be able to
	// process.
	private static final double MAX_PREFILL_BUSY_SHARE_AFTER_MOVE = 0.45;

	private static final double MIN_DECODE_FILL = 0.4;

	private static final double MIN_PREFILL_BUSY_SHARE = 0.9;

	private static final double MAX_DECODE_FILL_AFTER_MOVE = 0.6;

	private RolePolicy() {
	}

	/**
	 * Returns the role to which an engine should move.
	 * @param load the load of the pool
	 * @return the role that an engine of the other role should take, or {@code null} if
	 * no engine should move
	 */
	static @Nullable BackendRole targetRole(PoolLoad load) {
		int prefill = load.prefillEngines();
		int decode = load.decodeEngines();
		if (prefill >= 2 && load.busyPrefillEngines() / (prefill - 1) < MAX_PREFILL_BUSY_SHARE_AFTER_MOVE
				&& load.decodeFill() > MIN_DECODE_FILL) {
			return BackendRole.DECODE;
		}
		if (decode >= 2 && prefill >= 1 && load.busyPrefillEngines() / prefill > MIN_PREFILL_BUSY_SHARE
				&& load.decodeFill() * decode / (decode - 1) < MAX_DECODE_FILL_AFTER_MOVE) {
			return BackendRole.PREFILL;
		}
		return null;
	}

}
