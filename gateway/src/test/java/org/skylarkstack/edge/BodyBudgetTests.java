package org.skylarkstack.edge;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static com.google.common.truth.Truth.assertThat;

/**
 * Tests of {@link BodyBudget}.
 */
class BodyBudgetTests {

	private final BodyBudget budget = new BodyBudget(100, 250);

	private final List<String> dropped = new ArrayList<>();

	private BodyBuffer open(String name) {
		return this.budget.open(() -> this.dropped.add(name));
	}

	/** Guards against one body without end that fills the heap. */
	@Test
	void aBodyAboveItsBoundIsDropped() {
		BodyBuffer body = open("endless");
		body.append(new byte[100]);
		assertThat(this.dropped).isEmpty();
		body.append(new byte[1]);
		body.append(new byte[1]);
		assertThat(this.dropped).containsExactly("endless");
		assertThat(body.toByteArray()).isEmpty();
		assertThat(this.budget.totalBytes()).isEqualTo(0);
	}

	/**
	 * Guards against many bodies that together fill the heap, and against dropping a
	 * small body because a large one has used up the budget.
	 */
	@Test
	void theLargestBodyIsDroppedIfAllTogetherExceedTheBound() {
		BodyBuffer large = open("large");
		BodyBuffer medium = open("medium");
		BodyBuffer small = open("small");
		large.append(new byte[100]);
		medium.append(new byte[90]);
		small.append(new byte[60]);
		assertThat(this.dropped).isEmpty();
		small.append(new byte[1]);
		assertThat(this.dropped).containsExactly("large");
		assertThat(small.toByteArray()).hasLength(61);
		assertThat(this.budget.totalBytes()).isEqualTo(151);
	}

	/** Guards against a budget that shrinks with each response. */
	@Test
	void aReleasedBodyReturnsItsBytes() {
		for (int response = 0; response < 10; response++) {
			BodyBuffer body = open("body");
			body.append(new byte[90]);
			body.release();
			body.release();
		}
		assertThat(this.budget.totalBytes()).isEqualTo(0);
		assertThat(this.dropped).isEmpty();
	}

}
