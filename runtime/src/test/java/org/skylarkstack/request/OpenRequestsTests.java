package org.skylarkstack.request;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.skylarkstack.kernel.CancelReason;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.Exceptions;
import org.skylarkstack.kernel.RouterException;

import static com.google.common.truth.Truth.assertThat;

class OpenRequestsTests {

	private final RequestFixture fixture = new RequestFixture();

	// Guards against an unbounded number of open requests, and against slots that are not
	// released or released twice.
	@Test
	void slotsAreBoundedAndReleasedOnce() {
		List<OpenRequests.Slot> slots = new ArrayList<>();
		for (int index = 0; index < 10; index++) {
			slots.add(this.fixture.openRequests.acquireSlot());
		}
		RouterException refusal = Exceptions.assertThrows(RouterException.class,
				this.fixture.openRequests::acquireSlot);
		assertThat(refusal.type()).isEqualTo(ErrorType.TOO_MANY_REQUESTS);
		assertThat(refusal.retryAfter()).isNotNull();
		slots.get(0).close();
		slots.get(0).close();
		assertThat(this.fixture.openRequests.openCount()).isEqualTo(9);
	}

	// Guards against request bodies that fill the heap together, and against memory that
	// stays reserved.
	@Test
	void bodiesAreBoundedTogether() {
		OpenRequests requests = new OpenRequests(10, 1_000, this.fixture.configuration);
		OpenRequests.Slot first = requests.acquireSlot();
		first.reserveBody(400);
		first.reserveBody(600);
		OpenRequests.Slot second = requests.acquireSlot();
		RouterException refusal = Exceptions.assertThrows(RouterException.class, () -> second.reserveBody(401));
		assertThat(refusal.type()).isEqualTo(ErrorType.TOO_MANY_REQUESTS);
		assertThat(refusal.retryAfter()).isNotNull();
		second.reserveBody(400);
		first.close();
		first.close();
		second.reserveBody(1_000);
	}

	// Guards against a request that keeps running because its key was withdrawn between
	// the check of the key and the registration.
	@Test
	void keyWithdrawnBeforeRegistrationEndsTheRequest() {
		this.fixture.withdrawKey();
		Cancellation cancellation = new Cancellation();
		this.fixture.openRequests.add(new OpenRequest(RequestFixture.KEY_HASH, "team", "", cancellation));
		assertThat(cancellation.reason()).isEqualTo(CancelReason.KEY_WITHDRAWN);
	}

	// Guards against ending requests on open routes, which have no key, when a key is
	// withdrawn.
	@Test
	void requestOnOpenRouteIsNotEndedByWithdrawnKeys() {
		Cancellation cancellation = new Cancellation();
		this.fixture.openRequests.add(new OpenRequest("", "", "", cancellation));
		this.fixture.withdrawKey();
		assertThat(cancellation.reason()).isNull();
	}

	// Guards against a cancel action that runs after its registration was closed and so
	// interrupts a later step of the thread.
	@Test
	void closedRegistrationNeverRuns() {
		Cancellation cancellation = new Cancellation();
		List<String> ran = new ArrayList<>();
		cancellation.onCancel(() -> ran.add("closed")).close();
		cancellation.onCancel(() -> ran.add("open"));
		assertThat(cancellation.cancel(CancelReason.SHUTDOWN)).isTrue();
		assertThat(cancellation.cancel(CancelReason.CALLER_GONE)).isFalse();
		cancellation.onCancel(() -> ran.add("late"));
		assertThat(ran).containsExactly("open", "late").inOrder();
	}

}
