package org.skylarkstack.gateway;

import org.jspecify.annotations.Nullable;

/**
 * Decides whether an engine should change its role.
 *
 * <p>
 * Answers the load pattern of a pool whose one role idles while the other one is short:
 * answers of thousands of tokens fill the memory of the decode engines while prefill
 * engines have nothing to do, or the reverse. An engine moves only if the role that it
 * leaves stays well below its capacity without it.
 */
final class RolePolicy {

	// Bursts double the usual load; the remaining prefill engines must take that.
	private static final double MAX_PREFILL_BUSY_SHARE_AFTER_MOVE = 0.45;

	private static final double MIN_DECODE_FILL = 0.4;

	private static final double MIN_PREFILL_BUSY_SHARE = 0.9;

	private static final double MAX_DECODE_FILL_AFTER_MOVE = 0.6;

	private RolePolicy() {
	}

	/**
	 * Decides.
	 * @param load the load of the pool
	 * @return the role that an engine of the other role should take, or {@code null}
	 */
	static @Nullable Stage targetRole(PoolLoad load) {
		int prefill = load.prefillEngines();
		int decode = load.decodeEngines();
		if (prefill >= 2 && load.busyPrefillEngines() / (prefill - 1) < MAX_PREFILL_BUSY_SHARE_AFTER_MOVE
				&& load.decodeFill() > MIN_DECODE_FILL) {
			return Stage.DECODE;
		}
		if (decode >= 2 && prefill >= 1 && load.busyPrefillEngines() / prefill > MIN_PREFILL_BUSY_SHARE
				&& load.decodeFill() * decode / (decode - 1) < MAX_DECODE_FILL_AFTER_MOVE) {
			return Stage.PREFILL;
		}
		return null;
	}

}
