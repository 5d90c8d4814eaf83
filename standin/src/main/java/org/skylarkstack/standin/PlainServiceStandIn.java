package org.skylarkstack.standin;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/**
 * Stand-in for a plain HTTP service: bookings ({@code POST /bookings}), meal entries
 * ({@code POST /meals}) and status reads ({@code GET /status/NAME}). It records every
 * request that it receives and every write that takes effect.
 */
public final class PlainServiceStandIn implements AutoCloseable {

	private static final String JSON = "application/json";

	private final ObjectMapper mapper = new ObjectMapper();

	private final Map<PlainServiceFault, AtomicInteger> faults = new EnumMap<>(PlainServiceFault.class);

	private final List<RecordedRequest> requests = new ArrayList<>();

	private final List<RecordedRequest> effects = new ArrayList<>();

	private final CountDownLatch closing = new CountDownLatch(1);

	private final HttpStandIn server;

	private volatile int slowMillis = 1_000;

	/**
	 * Starts a service.
	 * @param port the port on the loopback interface, or 0 for any free port
	 */
	public PlainServiceStandIn(int port) {
		for (PlainServiceFault fault : PlainServiceFault.values()) {
			this.faults.put(fault, new AtomicInteger());
		}
		this.server = new HttpStandIn(port, this::register);
	}

	private void register(JavalinConfig config) {
		config.routes.exception(InterruptedException.class, (failure, context) -> context.status(500));
		config.routes.post("/bookings", (context) -> write(context, "booking"));
		config.routes.post("/meals", (context) -> write(context, "meal"));
		config.routes.get("/status/{name}", this::read);
	}

	/**
	 * Returns the base URL.
	 * @return the URL without a trailing slash
	 */
	public String url() {
		return this.server.url();
	}

	/**
	 * Injects a fault into the next requests. Replaces the remaining count of that fault.
	 * @param fault the fault
	 * @param times the number of requests
	 */
	public void inject(PlainServiceFault fault, int times) {
		counter(fault).set(times);
	}

	/**
	 * Sets the delay of {@link PlainServiceFault#SLOW}.
	 * @param millis the delay in milliseconds
	 */
	public void slowBy(int millis) {
		this.slowMillis = millis;
	}

	/**
	 * Returns the received requests, including those without an effect.
	 * @return the requests in order of arrival
	 */
	public List<RecordedRequest> requests() {
		synchronized (this.requests) {
			return List.copyOf(this.requests);
		}
	}

	/**
	 * Returns the bookings and meal entries that took effect.
	 * @return the requests in order of effect
	 */
	public List<RecordedRequest> effects() {
		synchronized (this.effects) {
			return List.copyOf(this.effects);
		}
	}

	private AtomicInteger counter(PlainServiceFault fault) {
		return java.util.Objects.requireNonNull(this.faults.get(fault));
	}

	private boolean consume(PlainServiceFault fault) {
		return counter(fault).getAndUpdate((remaining) -> Math.max(0, remaining - 1)) > 0;
	}

	private RecordedRequest receive(Context context) throws InterruptedException {
		RecordedRequest request = new RecordedRequest(context.req().getMethod(), context.path(), context.headerMap(),
				context.body());
		synchronized (this.requests) {
			this.requests.add(request);
		}
		if (consume(PlainServiceFault.SILENT)) {
			this.closing.await();
		}
		if (consume(PlainServiceFault.SLOW)) {
			Thread.sleep(this.slowMillis);
		}
		if (consume(PlainServiceFault.DROP_BEFORE_EFFECT)) {
			drop(context);
		}
		return request;
	}

	private void write(Context context, String kind) throws InterruptedException {
		RecordedRequest request = receive(context);
		if (consume(PlainServiceFault.UNAVAILABLE)) {
			context.status(503);
			return;
		}
		int number;
		synchronized (this.effects) {
			this.effects.add(request);
			number = this.effects.size();
		}
		if (consume(PlainServiceFault.SILENT_AFTER_EFFECT)) {
			this.closing.await();
		}
		if (consume(PlainServiceFault.DROP_AFTER_EFFECT)) {
			drop(context);
		}
		context.status(201)
			.contentType(JSON)
			.result(this.mapper.createObjectNode().put("kind", kind).put("number", number).toString());
	}

	private void read(Context context) throws InterruptedException {
		receive(context);
		if (consume(PlainServiceFault.UNAVAILABLE)) {
			context.status(503);
			return;
		}
		context.contentType(JSON)
			.result(this.mapper.createObjectNode()
				.put("name", context.pathParam("name"))
				.put("state", "normal")
				.toString());
	}

	private static void drop(Context context) throws InterruptedException {
		ServletContextRequest.getServletContextRequest(context.req())
			.getConnectionMetaData()
			.getConnection()
			.getEndPoint()
			.close();
		throw new InterruptedException("connection closed by an injected fault");
	}

	@Override
	public void close() {
		this.closing.countDown();
		this.server.abort();
	}

}
