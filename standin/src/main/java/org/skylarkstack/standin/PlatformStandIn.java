package org.skylarkstack.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import org.jspecify.annotations.Nullable;

/**
 * Stand-in for the platform: a table service with the DynamoDB API, an object store with
 * the S3 API and the VM list. The callers of each data centre use their own path prefix,
 * so that faults can be limited to one data centre.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final String JSON = "application/x-amz-json-1.0";

	private final ObjectMapper mapper = new ObjectMapper();

	private final StandInTable table = new StandInTable();

	private final Map<String, byte[]> objects = new ConcurrentHashMap<>();

	private final List<String> vmList = new CopyOnWriteArrayList<>();

	private final Queue<JsonNode> heldWrites = new ConcurrentLinkedQueue<>();

	private final PlatformFaults faults = new PlatformFaults();

	private final HttpStandIn server;

	private volatile @Nullable List<String> staleVmList;

	private volatile Map<String, JsonNode> tableCopy = Map.of();

	/**
	 * Starts a platform.
	 * @param port the port on the loopback interface, or 0 for any free port
	 */
	public PlatformStandIn(int port) {
		this.server = new HttpStandIn(port, this::register);
	}

	private void register(JavalinConfig config) {
		config.routes.post("/{zone}/table", this::handleTable);
		config.routes.put("/{zone}/objects/<key>", this::putObject);
		config.routes.get("/{zone}/objects/<key>", this::getObject);
		config.routes.get("/{zone}/vms", this::listVms);
	}

	/**
	 * Returns the base URL for a data centre.
	 * @param dataCentre the data centre
	 * @return the URL without a trailing slash
	 */
	public String url(String dataCentre) {
		return this.server.url() + "/" + dataCentre;
	}

	/**
	 * Returns the fault injection settings and operation counters.
	 * @return the settings, which may be changed
	 */
	public PlatformFaults faults() {
		return this.faults;
	}

	/**
	 * Returns the VM list.
	 * @return the mutable list; changes are served unless the list is stale
	 */
	public List<String> vmList() {
		return this.vmList;
	}

	/**
	 * Makes the served VM list stale: callers get a copy of the current list until this
	 * is reset.
	 * @param stale whether the served list is stale
	 */
	public void setVmListStale(boolean stale) {
		this.staleVmList = stale ? List.copyOf(this.vmList) : null;
	}

	/**
	 * Applies the held writes in the order of their arrival. Each write takes effect only
	 * if its conditions hold at the time of this call.
	 * @return the number of writes that took effect
	 */
	public int applyHeldWrites() {
		int applied = 0;
		for (JsonNode write = this.heldWrites.poll(); write != null; write = this.heldWrites.poll()) {
			applied += this.table.transact(write).has("__type") ? 0 : 1;
		}
		return applied;
	}

	/** Takes a copy of the table, which {@link #restoreTable()} returns to. */
	public void copyTable() {
		this.tableCopy = this.table.copy();
	}

	/** Returns the table to the last copy; all later writes are lost. */
	public void restoreTable() {
		this.table.restore(this.tableCopy);
	}

	private void listVms(Context context) {
		List<String> shown = this.staleVmList;
		if (this.faults.admit(context.pathParam("zone"), "ListVms")) {
			context.json((shown != null) ? shown : this.vmList);
		}
		else {
			context.status(503);
		}
	}

	private void handleTable(Context context) throws IOException {
		String target = Optional.ofNullable(context.header("X-Amz-Target")).orElse("");
		String operation = target.substring(target.indexOf('.') + 1);
		if (!this.faults.admit(context.pathParam("zone"), operation)) {
			context.status(500).contentType(JSON).result("{\"__type\":\"InternalServerError\"}");
			return;
		}
		JsonNode request = this.mapper.readTree(context.bodyAsBytes());
		if (this.faults.holdsWrite(operation)) {
			this.heldWrites.add(request.path("TransactItems"));
			context.status(500).contentType(JSON).result("{\"__type\":\"InternalServerError\"}");
			return;
		}
		ObjectNode response = switch (operation) {
			case "GetItem" -> get(request);
			case "Query" -> query(request);
			case "TransactWriteItems" -> this.table.transact(request.path("TransactItems"));
			default -> this.mapper.createObjectNode().put("__type", "UnknownOperationException");
		};
		if (this.faults.losesReply(operation)) {
			context.status(500).contentType(JSON).result("{\"__type\":\"InternalServerError\"}");
			return;
		}
		context.status(response.has("__type") ? 400 : 200).contentType(JSON).result(response.toString());
	}

	private ObjectNode get(JsonNode request) {
		ObjectNode response = this.mapper.createObjectNode();
		this.table.get(StandInTable.keyOf(request.path("Key"))).ifPresent((item) -> response.set("Item", item));
		return response;
	}

	private ObjectNode query(JsonNode request) {
		JsonNode values = request.path("ExpressionAttributeValues");
		ObjectNode response = this.mapper.createObjectNode();
		ArrayNode items = response.putArray("Items");
		this.table
			.query(values.path(":pk").path("S").asText(), values.path(":sk").path("S").asText(),
					request.path("Limit").asInt(Integer.MAX_VALUE))
			.forEach(items::add);
		response.put("Count", items.size());
		return response;
	}

	private void putObject(Context context) {
		if (!this.faults.admit(context.pathParam("zone"), "PutObject")) {
			context.status(503);
			return;
		}
		this.objects.put(context.pathParam("key"), context.bodyAsBytes());
		context.status(200);
	}

	private void getObject(Context context) {
		byte[] bytes = this.objects.get(context.pathParam("key"));
		if (!this.faults.admit(context.pathParam("zone"), "GetObject")) {
			context.status(503);
		}
		else if (bytes == null) {
			context.status(404).contentType("application/xml").result("<Error><Code>NoSuchKey</Code></Error>");
		}
		else {
			context.result(bytes);
		}
	}

	@Override
	public void close() {
		this.server.close();
	}

}
