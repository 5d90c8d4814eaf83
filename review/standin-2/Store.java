import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for the platform's store: rows, transactions, long polls and eras. */
final class Store {

	/** One row. */
	record Row(String table, String key, String value, long ver, boolean removed) {

		String json() {
			return "{\"table\":" + Json.quote(this.table) + ",\"part\":\"\",\"key\":" + Json.quote(this.key)
					+ (this.removed ? ",\"removed\":true" : ",\"value\":\""
							+ Base64.getEncoder().encodeToString(this.value.getBytes(StandardCharsets.UTF_8)) + "\"")
					+ ",\"ver\":" + this.ver + "}";
		}

	}

	private final ServerSocket server;

	private final TreeMap<String, Row> rows = new TreeMap<>();

	private long version = 10;

	private long era;

	private long historyFrom;

	/** Addresses of machines that get no answer. */
	final Set<String> silent = ConcurrentHashMap.newKeySet();

	/** Addresses of machines that get 503. */
	final Set<String> busy = ConcurrentHashMap.newKeySet();

	/** Tables whose next reply is lost with its channel. */
	final Set<String> loseNext = ConcurrentHashMap.newKeySet();

	volatile boolean down;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Store(String ip) throws IOException {
		this.server = new ServerSocket();
		this.server.bind(new InetSocketAddress(InetAddress.getByName(ip), 0), 512);
		Thread thread = new Thread(this::accept, "store");
		thread.setDaemon(true);
		thread.start();
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	private void accept() {
		while (true) {
			try {
				Socket socket = this.server.accept();
				if (this.down) {
					socket.setSoLinger(true, 0);
					socket.close();
					continue;
				}
				Thread thread = new Thread(() -> serve(socket), "store-call");
				thread.setDaemon(true);
				thread.start();
			}
			catch (IOException ex) {
				return;
			}
		}
	}

	synchronized long put(String table, String key, String value) {
		this.version++;
		this.rows.put(table + "/" + key, new Row(table, key, value, this.version, false));
		notifyAll();
		return System.nanoTime();
	}

	synchronized void remove(String table, String key) {
		this.version++;
		this.rows.put(table + "/" + key, new Row(table, key, "", this.version, true));
		notifyAll();
	}

	synchronized List<Row> table(String table) {
		return this.rows.values().stream().filter((row) -> row.table.equals(table) && !row.removed).toList();
	}

	/** State that a drill may bring back. */
	record Copy(Map<String, Row> rows, long version) {

	}

	synchronized Copy copy() {
		return new Copy(new TreeMap<>(this.rows), this.version);
	}

	/** Comes back from a copy: all channels end, versions go back and the era rises. */
	synchronized void restore(Copy copy) throws IOException {
		this.rows.clear();
		this.rows.putAll(copy.rows);
		this.version = copy.version;
		this.era++;
		closeAll();
		notifyAll();
	}

	/** Drops the history, so that a read of changes from before gets 410. */
	synchronized void compact() {
		this.historyFrom = this.version;
		notifyAll();
	}

	void closeAll() throws IOException {
		for (Socket socket : this.open) {
			try {
				socket.setSoLinger(true, 0);
				socket.close();
			}
			catch (IOException ex) {
				// It was closed before.
			}
		}
	}

	private void serve(Socket socket) {
		this.open.add(socket);
		try (socket) {
			String peer = socket.getInetAddress().getHostAddress();
			while (true) {
				Http.Head head = Http.head(socket.getInputStream());
				if (head == null) {
					return;
				}
				byte[] body = Http.body(socket.getInputStream(), head);
				if (this.silent.contains(peer)) {
					Thread.sleep(60_000);
					return;
				}
				if (this.busy.contains(peer)) {
					answer(socket, 503, "{}");
					continue;
				}
				handle(socket, head, new String(body, StandardCharsets.UTF_8));
			}
		}
		catch (IOException | InterruptedException ex) {
			// The daemon has closed the channel.
		}
		finally {
			this.open.remove(socket);
		}
	}

	private void answer(Socket socket, int status, String body) throws IOException {
		answer(socket, status, body, this.era);
	}

	private void answer(Socket socket, int status, String body, long replyEra) throws IOException {
		byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
		OutputStream out = socket.getOutputStream();
		out.write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nStore-Era: " + replyEra
				+ "\r\nContent-Length: " + bytes.length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
		out.write(bytes);
		out.flush();
	}

	private static long nowMillis() {
		return System.nanoTime() / 1_000_000 & 0xFFFFFFFFFFL;
	}

	private String reply(List<Row> found) {
		return "{\"rows\":[" + String.join(",", found.stream().map(Row::json).toList()) + "],\"truncated\":false,\"ver\":"
				+ this.version + ",\"nowMs\":" + nowMillis() + "}";
	}

	@SuppressWarnings("unchecked")
	private void handle(Socket socket, Http.Head head, String body) throws IOException, InterruptedException {
		String target = head.target();
		int mark = target.indexOf('?');
		Map<String, String> query = new HashMap<>();
		for (String pair : ((mark < 0) ? "" : target.substring(mark + 1)).split("&")) {
			int equals = pair.indexOf('=');
			if (equals > 0) {
				query.put(pair.substring(0, equals),
						URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
			}
		}
		String path = (mark < 0) ? target : target.substring(0, mark);
		String table = query.getOrDefault("table", "");
		String reply;
		int status = 200;
		long replyEra;
		synchronized (this) {
			if (path.equals(Wire.name("read"))) {
				String from = query.getOrDefault("from", "");
				int limit = Integer.parseInt(query.getOrDefault("limit", "500"));
				reply = reply(this.rows.values()
					.stream()
					.filter((row) -> row.table.equals(table) && !row.removed && row.key.compareTo(from) >= 0)
					.limit(limit)
					.toList());
			}
			else if (path.equals(Wire.name("changes"))) {
				long after = Long.parseLong(query.get("after"));
				long end = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("waitMs", "0"));
				List<Row> found = changes(table, after);
				while (found.isEmpty() && after >= this.historyFrom && after <= this.version
						&& System.currentTimeMillis() < end) {
					wait(Math.max(1, end - System.currentTimeMillis()));
					found = changes(table, after);
				}
				status = (after < this.historyFrom || after > this.version) ? 410 : 200;
				reply = (status == 200) ? reply(found) : "{}";
			}
			else {
				Map<String, Object> tx = (Map<String, Object>) Json.read(body);
				boolean holds = true;
				for (Object entry : (List<Object>) tx.get("expected")) {
					Map<String, Object> row = (Map<String, Object>) entry;
					Row known = this.rows.get(row.get("table") + "/" + row.get("key"));
					long ver = (known == null || known.removed) ? 0 : known.ver;
					holds &= ver == (Long) row.get("ver");
				}
				status = holds ? 200 : 412;
				if (holds) {
					this.version++;
					List<Object> changed = new ArrayList<>((List<Object>) tx.get("setKeys"));
					changed.addAll((List<Object>) tx.get("remove"));
					for (Object entry : changed) {
						Map<String, Object> row = (Map<String, Object>) entry;
						String value = (String) row.get("value");
						this.rows.put(row.get("table") + "/" + row.get("key"),
								new Row((String) row.get("table"), (String) row.get("key"),
										(value == null) ? ""
												: new String(Base64.getDecoder().decode(value), StandardCharsets.UTF_8),
										this.version, value == null));
					}
					notifyAll();
				}
				reply = reply(List.of());
			}
			replyEra = this.era;
		}
		if (this.loseNext.remove(table)) {
			Thread.sleep(60_000);
			return;
		}
		answer(socket, status, reply, replyEra);
	}

	private List<Row> changes(String table, long after) {
		List<Row> found = new ArrayList<>(
				this.rows.values().stream().filter((row) -> row.table.equals(table) && row.ver > after).toList());
		found.sort((a, b) -> Long.compare(a.ver, b.ver));
		return found;
	}

}
