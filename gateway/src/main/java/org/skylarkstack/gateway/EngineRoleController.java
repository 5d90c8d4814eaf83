package org.skylarkstack.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.BackendClient;
import org.skylarkstack.edge.BackendFailure;
import org.skylarkstack.edge.BackendListener;
import org.skylarkstack.edge.BackendRequest;
import org.skylarkstack.peers.PeerUsage;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves engines between the prefill and decode roles of a pool. Only one daemon at a time
 * does so: of the daemons that receive each other's reports, the first by name decides,
 * and each order requires a new claim in the platform's store, whose number is the
 * order's fencing number. An order that cannot be sent immediately after its claim is not
 * sent at all.
 */
public final class EngineRoleController {

	private static final Logger log = LoggerFactory.getLogger(EngineRoleController.class);

	private static final long SAMPLE_INTERVAL_MILLIS = 200;

	// Maximum delay after which an engine may still carry out an order that it has not
	// acknowledged.
	private static final long MAX_ORDER_DELAY_NANOS = 20_000_000_000L;

	private static final long MAX_CLAIM_AGE_MILLIS = 1_000;

	private static final long MIN_ORDER_INTERVAL_NANOS = 8_000_000_000L;

	private static final long ORDER_TIMEOUT_MILLIS = 5_000;

	private static final int ACCEPTED = 202;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final String self;

	private final EventLoop loop;

	private final GatewayState state;

	private final PeerUsage peers;

	private final LeadershipClaims claims;

	private final RoleOrders orders;

	private final WireDialect dialect;

	private final BackendClient client;

	private final LeadershipTakeover takeover = new LeadershipTakeover(MAX_ORDER_DELAY_NANOS);

	private final Map<String, PoolMeter> meters = new HashMap<>();

	private long pausedUntilNanos = System.nanoTime();

	/**
	 * Creates a controller that has not been started.
	 * @param self the name of this daemon
	 * @param loop the event loop on which the controller runs
	 * @param state the routing table and the backend servers known to this daemon
	 * @param peers the engine usage that peers report
	 * @param claims the leadership claims in the platform's store
	 * @param orders the encoder of orders to engines
	 * @param dialect decodes the engines' responses
	 * @param client the client that calls engines
	 */
	public EngineRoleController(String self, EventLoop loop, GatewayState state, PeerUsage peers,
			LeadershipClaims claims, RoleOrders orders, WireDialect dialect, BackendClient client) {
		this.self = self;
		this.loop = loop;
		this.state = state;
		this.peers = peers;
		this.claims = claims;
		this.orders = orders;
		this.dialect = dialect;
		this.client = client;
	}

	/** Starts sampling the load and ordering changes of role. */
	public void start() {
		this.loop.scheduleWithFixedDelay(this::sampleServices, SAMPLE_INTERVAL_MILLIS, SAMPLE_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	private void sampleServices() {
		RoutingTable table = this.state.routing();
		if (table == null) {
			return;
		}
		long now = System.nanoTime();
		for (ServicePolicy service : table.services()) {
			EngineProfile profile = service.engine();
			if (profile != null) {
				sampleAndRebalance(service.name(), profile, now);
			}
		}
	}

	private void sampleAndRebalance(String service, EngineProfile profile, long now) {
		List<BackendState> prefill = this.state.backends().candidates(service, BackendRole.PREFILL, (node) -> false);
		List<BackendState> decode = this.state.backends().candidates(service, BackendRole.DECODE, (node) -> false);
		PoolMeter meter = this.meters.computeIfAbsent(service, (name) -> new PoolMeter());
		meter.sample(prefill, decode, profile, this.peers, now);
		if (now - this.pausedUntilNanos < 0 || !this.peers.isFirstLiveDaemon(this.self, now)) {
			return;
		}
		PoolLoad load = meter.load(prefill.size(), decode.size());
		BackendRole role = RolePolicy.targetRole(load);
		if (role == null || !meter.hasEnoughSamples(role)) {
			return;
		}
		BackendState engine = leastLoaded((role == BackendRole.DECODE) ? prefill : decode);
		if (engine == null) {
			return;
		}
		this.pausedUntilNanos = now + MIN_ORDER_INTERVAL_NANOS;
		log.atInfo()
			.addKeyValue("event", "role-change-wanted")
			.addKeyValue("service", service)
			.addKeyValue("server", engine.node().id())
			.addKeyValue("role", role)
			.addKeyValue("busyPrefill", "%.2f of %d".formatted(load.busyPrefillEngines(), load.prefillEngines()))
			.addKeyValue("decodeFill", "%.2f of %d".formatted(load.decodeFill(), load.decodeEngines()))
			.log();
		claim(service, engine.node(), role);
	}

	private static @Nullable BackendState leastLoaded(List<BackendState> engines) {
		BackendState best = null;
		for (BackendState engine : engines) {
			if (best == null || engine.openTokens() < best.openTokens()) {
				best = engine;
			}
		}
		return best;
	}

	private void claim(String service, BackendNode engine, BackendRole role) {
		this.claims.read(service, (lastClaim) -> {
			if (lastClaim == null || !this.takeover.mayClaim(lastClaim, this.self, System.nanoTime())) {
				log.atInfo()
					.addKeyValue("event", "role-duty-not-claimed")
					.addKeyValue("holder", (lastClaim != null) ? lastClaim.holder() : "unknown")
					.addKeyValue("number", (lastClaim != null) ? lastClaim.fencingNumber() : 0)
					.log();
				return;
			}
			long sentNanos = System.nanoTime();
			long sentMillis = System.currentTimeMillis();
			this.claims.claim(service, lastClaim, this.self, (fencingNumber) -> {
				long claimAgeMillis = Math.max((System.nanoTime() - sentNanos) / NANOS_PER_MILLI,
						System.currentTimeMillis() - sentMillis);
				if (fencingNumber > 0 && claimAgeMillis < MAX_CLAIM_AGE_MILLIS) {
					order(service, engine, role, fencingNumber);
				}
			});
		});
	}

	private void order(String service, BackendNode engine, BackendRole role, long fencingNumber) {
		BackendState current = this.state.backends().find(engine.id());
		if (current == null || !current.node().sameIncarnation(engine) || !this.state.backends().isAvailable(current)
				|| !this.state.backends().mayCall(current, System.nanoTime())) {
			return;
		}
		log.atInfo()
			.addKeyValue("event", "role-ordered")
			.addKeyValue("server", engine.id())
			.addKeyValue("role", role)
			.addKeyValue("fencingNumber", fencingNumber)
			.log();

		this.pausedUntilNanos = System.nanoTime() + MAX_ORDER_DELAY_NANOS;
		this.meters.remove(service);
		current.condition().countRequest(System.nanoTime());
		this.client.call(this.orders.encode(engine, role, this.self, fencingNumber), new OrderListener(current),
				ORDER_TIMEOUT_MILLIS);
	}

	/**
	 * Encoder of orders to engines.
	 */
	public interface RoleOrders {

		/**
		 * Encodes an order to take a role.
		 * @param engine the engine that receives the order
		 * @param role the role that the engine should take
		 * @param holder the name of the daemon that sends the order
		 * @param fencingNumber the fencing number of the daemon's claim
		 * @return the request to send to the engine
		 */
		BackendRequest encode(BackendNode engine, BackendRole role, String holder, long fencingNumber);

	}

	/**
	 * Handles the response of an engine to an order. An engine may carry out an
	 * unacknowledged order much later, so after a failed call the pause of
	 * {@code MAX_ORDER_DELAY_NANOS} remains in effect and no other order is sent.
	 */
	private final class OrderListener implements BackendListener {

		private final BackendState engine;

		private int status;

		OrderListener(BackendState engine) {
			this.engine = engine;
		}

		@Override
		public void head(int received, HttpHeaders headers) {
			this.status = received;
			this.engine.condition()
				.apply(EngineRoleController.this.dialect.responseHead(received, headers).notice(), "order",
						System.nanoTime());
		}

		@Override
		public void ended() {
			EngineRoleController.this.pausedUntilNanos = System.nanoTime() + MIN_ORDER_INTERVAL_NANOS;
			if (this.status == ACCEPTED) {
				EngineRoleController.this.peers.recordRoleChange(this.engine.node().roleKey(), System.nanoTime());
			}
			log("status-" + this.status);
		}

		@Override
		public void failed(BackendFailure failure) {
			log(failure.kind().name());
		}

		private void log(String outcome) {
			log.atInfo()
				.addKeyValue("event", "role-order-answered")
				.addKeyValue("server", this.engine.node().id())
				.addKeyValue("outcome", outcome)
				.log();
		}

	}

}
