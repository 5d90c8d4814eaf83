package org.skylarkstack.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.engine.DecodeEvent;
import org.skylarkstack.engine.DecodeStream;
import org.skylarkstack.engine.EngineCall;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.EngineLoad;
import org.skylarkstack.engine.HeldRequest;
import org.skylarkstack.engine.PrefillResult;
import org.skylarkstack.kernel.Cancellation;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.kernel.Verdict;

/**
 * In-memory engines. Like real engines, they hold memory for a request until it is
 * imported, finished or cancelled. Tests inject their faults.
 */
final class FakeEngineClient implements EngineClient {

	static final int PROMPT_TOKENS = 10;

	final List<String> calls = Collections.synchronizedList(new ArrayList<>());

	/** Memory held by the engines, as "engine attempt". */
	final Set<String> holds = Collections.synchronizedSet(new TreeSet<>());

	/**
	 * Actions run by the next prefills, one each; an empty action lets a prefill succeed.
	 */
	final Deque<Runnable> prefillFaults = new ArrayDeque<>();

	/** Faults of the next decodes, one each. */
	final Deque<DecodeFault> decodeFaults = new ArrayDeque<>();

	/** Offsets of the tokens that the streams leave out, each once. */
	final Set<Integer> skippedTokens = new HashSet<>();

	final Set<String> dead = new HashSet<>();

	boolean ignoresCancel;

	@Nullable Cancellation lastCancellation;

	int tokens = 6;

	/** Text that follows the name of each token. */
	String padding = "";

	long idleMillis;

	static RouterException brokenConnection(String engineId) {
		return RouterException.of(ErrorType.BACKEND_FAILED, Verdict.MAY_HAVE_RUN, new java.io.IOException("reset"),
				engineId, "connection reset");
	}

	/** Returns a fault that crashes an engine and frees everything that it holds. */
	Runnable crash(String engineId) {
		return () -> {
			this.dead.add(engineId);
			this.holds.removeIf((hold) -> hold.startsWith(engineId + " "));
			throw brokenConnection(engineId);
		};
	}

	/**
	 * Returns the calls of prefill and decode in order. Cancels are left out because they
	 * run on another thread.
	 */
	List<String> prefillsAndDecodes() {
		synchronized (this.calls) {
			return this.calls.stream().filter((call) -> !call.startsWith("cancel")).toList();
		}
	}

	private void checkReachable(EngineNode engine) {
		if (this.dead.contains(engine.id())) {
			throw new RouterException(ErrorType.BACKEND_UNREACHABLE, engine.id());
		}
	}

	@Override
	public PrefillResult prefill(EngineNode engine, EngineCall call) {
		this.calls.add("prefill " + engine.id());
		checkReachable(engine);
		this.holds.add(engine.id() + " " + call.requestId());
		Runnable fault = this.prefillFaults.poll();
		if (fault != null) {
			fault.run();
		}
		return new PrefillResult(
				JsonNodeFactory.instance.objectNode().put("hold", engine.id() + " " + call.requestId()), PROMPT_TOKENS);
	}

	@Override
	public DecodeStream decode(EngineNode engine, EngineCall call, PrefillResult prefill, int resumeOffset) {
		this.lastCancellation = call.cancellation();
		this.calls.add("decode " + engine.id() + "@" + resumeOffset);
		checkReachable(engine);
		String source = prefill.transferParameters().path("hold").asText();
		if (!this.holds.contains(source)) {
			throw new RouterException(ErrorType.PREFILL_GONE, engine.id());
		}
		this.holds.add(engine.id() + " " + call.requestId());
		DecodeFault fault = this.decodeFaults.poll();
		return new FakeStream(engine.id() + " " + call.requestId(), source, resumeOffset, fault);
	}

	@Override
	public void cancel(EngineNode engine, String requestId) {
		checkReachable(engine);
		this.calls.add("cancel " + engine.id() + " " + requestId);
		if (!this.ignoresCancel) {
			this.holds.remove(engine.id() + " " + requestId);
		}
	}

	@Override
	public List<HeldRequest> held(EngineNode engine) {
		checkReachable(engine);
		synchronized (this.holds) {
			return this.holds.stream()
				.filter((hold) -> hold.startsWith(engine.id() + " "))
				.map((hold) -> new HeldRequest(hold.substring(engine.id().length() + 1), "vm-0.1", "decode", 1,
						this.idleMillis))
				.toList();
		}
	}

	@Override
	public EngineLoad load(EngineNode engine) {
		checkReachable(engine);
		return new EngineLoad(0, 0, 0, 0);
	}

	/**
	 * Fault of one decode.
	 *
	 * @param afterEvents the number of events before the fault
	 * @param action the fault; the stream continues if it returns normally
	 */
	record DecodeFault(int afterEvents, Runnable action) {

	}

	private final class FakeStream implements DecodeStream {

		private final String hold;

		private final String source;

		private final @Nullable DecodeFault fault;

		private int events;

		private int offset;

		FakeStream(String hold, String source, int resumeOffset, @Nullable DecodeFault fault) {
			this.hold = hold;
			this.source = source;
			this.offset = resumeOffset;
			this.fault = fault;
		}

		@Override
		public @Nullable DecodeEvent next() {
			if (this.fault != null && this.events == this.fault.afterEvents()) {
				this.fault.action().run();
			}
			if (!this.source.equals(this.hold)) {
				FakeEngineClient.this.holds.remove(this.source);
			}
			this.events++;
			if (this.offset == FakeEngineClient.this.tokens) {
				FakeEngineClient.this.holds.remove(this.hold);
				return null;
			}
			this.offset++;
			if (FakeEngineClient.this.skippedTokens.remove(this.offset)) {
				this.offset++;
			}
			return new DecodeEvent(this.offset, "t" + this.offset + FakeEngineClient.this.padding);
		}

		@Override
		public void close() {
			// Closing the connection alone frees nothing on the engine.
		}

	}

}
