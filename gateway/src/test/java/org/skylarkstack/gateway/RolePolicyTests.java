package org.skylarkstack.gateway;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link RolePolicy}.
 */
class RolePolicyTests {

	/** Guards against prefill engines that stay idle while decode engines lack memory. */
	@Test
	void idlePrefillEngineMovesToDecoding() {
		assertThat(RolePolicy.targetRole(new PoolLoad(3, 0.8, 3, 0.5))).isEqualTo(BackendRole.DECODE);
	}

	/** Guards against a move that overloads the remaining prefill engines. */
	@Test
	void busyPrefillEnginesStay() {
		assertThat(RolePolicy.targetRole(new PoolLoad(3, 1.8, 3, 0.9))).isNull();
	}

	/** Guards against a move that leaves the pool without a prefill engine. */
	@Test
	void theLastPrefillEngineStays() {
		assertThat(RolePolicy.targetRole(new PoolLoad(1, 0, 5, 0.99))).isNull();
	}

	/**
	 * Guards against prompts that wait for a busy prefill engine while decode engines are
	 * idle.
	 */
	@Test
	void idleDecodeEngineMovesToPrefill() {
		assertThat(RolePolicy.targetRole(new PoolLoad(1, 0.97, 4, 0.2))).isEqualTo(BackendRole.PREFILL);
	}

	/**
	 * Guards against an engine that moves back and forth between the roles under steady
	 * load.
	 */
	@Test
	void aMoveIsNotUndoneAtTheSameLoad() {
		for (int prefill = 2; prefill <= 8; prefill++) {
			for (int percent = 0; percent <= 100; percent++) {
				double busy = prefill * percent / 100.0;
				PoolLoad before = new PoolLoad(prefill, busy, 4, 0.7);
				if (RolePolicy.targetRole(before) == BackendRole.DECODE) {
					PoolLoad after = new PoolLoad(prefill - 1, busy, 5, 0.7 * 4 / 5);
					assertThat(RolePolicy.targetRole(after)).isNotEqualTo(BackendRole.PREFILL);
				}
			}
		}
	}

}
