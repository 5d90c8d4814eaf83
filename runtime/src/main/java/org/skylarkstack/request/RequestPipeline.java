package org.skylarkstack.request;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.configuration.Configuration;
import org.skylarkstack.configuration.ConfigurationHolder;
import org.skylarkstack.configuration.EngineNode;
import org.skylarkstack.configuration.ObjectKind;
import org.skylarkstack.configuration.Team;
import org.skylarkstack.engine.DecodeEvent;
import org.skylarkstack.engine.DecodeStream;
import org.skylarkstack.engine.EngineCall;
import org.skylarkstack.engine.EngineClient;
import org.skylarkstack.engine.PrefillResult;
import org.skylarkstack.kernel.ErrorType;
import org.skylarkstack.kernel.RouterException;
import org.skylarkstack.limit.TeamLimiter;
import org.skylarkstack.limit.TokenReservation;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.schedule.Placement;
import org.skylarkstack.schedule.PlacementRelease;
import org.skylarkstack.schedule.PlacementRequest;
import org.skylarkstack.schedule.Placer;

/**
 * Runs completion requests: limit, place, prefill, decode, relay, settle.
 */
public final class RequestPipeline {

	private static final long PLACEMENT_WAIT_NANOS = 500_000_000L;

	private final String vmId;

	private final long incarnation;

	private final ConfigurationHolder configuration;

	private final TeamLimiter limiter;

	private final Placer placer;

	private final EngineClient engines;

	private final TimeSource time;

	private final AtomicLong sequence = new AtomicLong();

	/**
	 * Creates a pipeline.
	 * @param vmId this VM
	 * @param incarnation the random number of this start
	 * @param configuration the configuration in force
	 * @param limiter the teams' limits
	 * @param placer finds engines
	 * @param engines calls engines
	 * @param time the time source
	 */
	public RequestPipeline(String vmId, long incarnation, ConfigurationHolder configuration, TeamLimiter limiter,
			Placer placer, EngineClient engines, TimeSource time) {
		this.vmId = vmId;
		this.incarnation = incarnation;
		this.configuration = configuration;
		this.limiter = limiter;
		this.placer = placer;
		this.engines = engines;
		this.time = time;
	}

	/**
	 * Runs a request and passes its answer on, event by event.
	 * @param team the team that pays for the request
	 * @param request the request
	 * @param sink receives the answer
	 * @throws RouterException if the request is refused or fails
	 */
	public void run(Team team, CompletionRequest request, AnswerSink sink) {
		TokenReservation reservation = this.limiter.reserve(team, request.promptTokens() + request.maxOutputTokens(),
				this.time.nanos());
		long used = 0;
		try {
			used = runReserved(team, request, sink);
		}
		finally {
			this.limiter.settle(reservation, used, this.time.nanos());
		}
	}

	private long runReserved(Team team, CompletionRequest request, AnswerSink sink) {
		String requestId = "%s.%x.%d".formatted(this.vmId, this.incarnation, this.sequence.incrementAndGet());
		Placement placement = this.placer.place(new PlacementRequest(requestId, this.vmId, request.model(), team.id(),
				team.weight(), request.requestClass(), request.promptTokens(), request.maxOutputTokens(), List.of(),
				PLACEMENT_WAIT_NANOS, false));
		long served = 0;
		try {
			served = runPlaced(placement, request, sink, requestId + ".1");
			return served;
		}
		finally {
			this.placer.release(placement, new PlacementRelease(served, ""));
		}
	}

	private long runPlaced(Placement placement, CompletionRequest request, AnswerSink sink, String attemptId) {
		EngineNode prefillEngine = engine(placement.prefillEngineId(), request.model());
		EngineNode decodeEngine = engine(placement.decodeEngineId(), request.model());
		EngineCall call = new EngineCall(attemptId, "%s.%x".formatted(this.vmId, this.incarnation), request.path(),
				request.body());
		PrefillResult prefill = this.engines.prefill(prefillEngine, call);
		try (DecodeStream stream = this.engines.decode(decodeEngine, call, prefill, 0)) {
			return prefill.promptTokens() + relay(stream, sink);
		}
	}

	private static int relay(DecodeStream stream, AnswerSink sink) {
		int tokens = 0;
		for (@Nullable
		DecodeEvent event = stream.next(); event != null; event = stream.next()) {
			sink.event(event.data());
			tokens = Math.max(tokens, event.tokenOffset());
		}
		return tokens;
	}

	private EngineNode engine(String id, String model) {
		Configuration current = this.configuration.current();
		return current.find(EngineNode.class, ObjectKind.ENGINE, id)
			.orElseThrow(() -> new RouterException(ErrorType.NO_ENGINE, model));
	}

}
