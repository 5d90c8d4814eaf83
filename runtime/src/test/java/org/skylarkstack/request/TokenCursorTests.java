package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.skylarkstack.engine.DecodeEvent;

import static com.google.common.truth.Truth.assertWithMessage;

/**
 * Guards against events that the caller gets twice or not at all after any series of
 * interrupted streams, each of which may resume earlier than requested. jqwik prints the
 * seed of a failure.
 */
class TokenCursorTests {

	@Property(seed = "20261204", tries = 300)
	void callerGetsEachEventOnce(@ForAll @IntRange(min = 1, max = 12) int tokens, @ForAll long seed) {
		Random random = new Random(seed);
		TokenCursor cursor = new TokenCursor();
		List<String> got = new ArrayList<>();
		for (int attempt = 0; attempt < 8; attempt++) {
			cursor.startAttempt();
			boolean last = attempt == 7;
			int first = random.nextInt(cursor.delivered() + 1) + 1;
			for (int token = first; token <= tokens; token++) {
				deliver(cursor, new DecodeEvent(token, "t" + token), got);
				if (!last && random.nextInt(4) == 0) {
					break;
				}
				if (token == tokens) {
					deliver(cursor, new DecodeEvent(0, "finish"), got);
					deliver(cursor, new DecodeEvent(0, "usage"), got);
				}
			}
			if (last && cursor.delivered() == tokens && first > tokens) {
				deliver(cursor, new DecodeEvent(0, "finish"), got);
				deliver(cursor, new DecodeEvent(0, "usage"), got);
			}
		}
		List<String> expected = new ArrayList<>();
		for (int token = 1; token <= tokens; token++) {
			expected.add("t" + token);
		}
		expected.addAll(List.of("finish", "usage"));
		assertWithMessage("seed %s", seed).that(got).isEqualTo(expected);
	}

	private static void deliver(TokenCursor cursor, DecodeEvent event, List<String> got) {
		if (cursor.accept(event) == TokenCursor.Decision.DELIVER) {
			got.add(event.data());
		}
	}

}
