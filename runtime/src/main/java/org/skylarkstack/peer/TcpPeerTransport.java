package org.skylarkstack.peer;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;

import org.jctools.queues.MpscArrayQueue;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.misc.TimeSource;
import org.skylarkstack.settings.ListenAddress;
import org.skylarkstack.settings.PeerSettings;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Transport over TCP. One thread serves all sockets, because with blocking sockets each
 * daemon in a fleet of 350 would need 700 threads. Messages are sent on the sender's
 * outgoing connection; an accepted connection carries only acknowledgements in the other
 * direction.
 */
public final class TcpPeerTransport implements PeerTransport, AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(TcpPeerTransport.class);

	private static final int LOCAL_RING_MESSAGES = 8192;

	private static final long SELECT_MILLIS = 20;

	private static final long JOIN_MILLIS = 2_000;

	private static final int MAX_INCOMING_LINKS = 4096;

	private final LinkContext context;

	private final TimeSource time;

	private final RandomGenerator jitter;

	private final Map<String, OutgoingLink> links = new ConcurrentHashMap<>();

	private final Queue<OutgoingLink> replacedLinks = new ConcurrentLinkedQueue<>();

	private final Set<IncomingLink> incoming = new HashSet<>();

	private final Map<Class<?>, BiConsumer<String, PeerMessage>> handlers = new ConcurrentHashMap<>();

	private final MpscArrayQueue<PeerMessage> localRing = new MpscArrayQueue<>(LOCAL_RING_MESSAGES);

	private final AtomicBoolean wakeupPending = new AtomicBoolean();

	private final ListenAddress listenAddress;

	private final Thread thread;

	private final Selector selector;

	private @Nullable ServerSocketChannel server;

	private volatile boolean stopping;

	/**
	 * Creates a transport; {@link #start()} binds its port.
	 * @param self the identifier of this VM
	 * @param listenAddress the address on which to accept connections from peers
	 * @param peers the identifiers and addresses of the other daemons
	 * @param sharedSecret the secret with which daemons authenticate each other
	 * @param codec encodes and decodes messages
	 * @param limits the limits and timeouts
	 * @param time the time source
	 * @param jitter the source of jitter for reconnects; used only on the transport
	 * thread
	 */
	public TcpPeerTransport(String self, ListenAddress listenAddress, List<PeerSettings> peers, String sharedSecret,
			PeerCodec codec, TransportLimits limits, TimeSource time, RandomGenerator jitter) {
		this.context = new LinkContext(self, sharedSecret, codec, limits, new TransportStatistics(),
				ConcurrentHashMap.newKeySet(), ConcurrentHashMap.newKeySet());
		this.listenAddress = listenAddress;
		this.time = time;
		this.jitter = jitter;
		this.thread = new Thread(this::run, "peer-io-" + self);
		this.thread.setDaemon(true);
		try {
			this.selector = Selector.open();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("the selector of the peer transport cannot be opened", ex);
		}
		peers.forEach((peer) -> addPeer(peer.vmId(), peer.address()));
	}

	/**
	 * Adds a peer, or replaces its address and connection.
	 * @param vmId the VM of the peer
	 * @param address the address on which the peer accepts connections
	 */
	public void addPeer(String vmId, ListenAddress address) {
		this.context.knownPeers().add(vmId);
		OutgoingLink replaced = this.links.put(vmId,
				new OutgoingLink(this.context.self(), vmId, address, this.context.secret(), this.context.codec(),
						this.context.limits(), this.context.statistics(), this.jitter, this.time.nanos()));
		if (replaced != null) {
			this.replacedLinks.add(replaced);
		}
	}

	/**
	 * Binds the port and starts the transport thread.
	 * @throws UncheckedIOException if the address cannot be bound
	 */
	public void start() {
		try {
			ServerSocketChannel opened = ServerSocketChannel.open();
			this.server = opened;
			opened.bind(new InetSocketAddress(this.listenAddress.host(), this.listenAddress.port()));
			opened.configureBlocking(false);
			opened.register(this.selector, SelectionKey.OP_ACCEPT);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("peer address %s cannot be bound".formatted(this.listenAddress), ex);
		}
		this.thread.start();
	}

	/**
	 * Returns the port on which connections from peers are accepted.
	 * @return the bound port, or -1 before {@link #start()}
	 */
	public int port() {
		ServerSocketChannel current = this.server;
		return (current != null) ? current.socket().getLocalPort() : -1;
	}

	/**
	 * Returns the counters.
	 * @return the counts since start
	 */
	public TransportCounters counters() {
		return this.context.statistics().snapshot();
	}

	/**
	 * Blocks or unblocks the link with a peer in both directions without closing
	 * connections, like a network that drops packets. For fault tests.
	 * @param vmId the VM of the peer
	 * @param isBlocked whether all messages are dropped
	 */
	public void blockPeer(String vmId, boolean isBlocked) {
		if (isBlocked) {
			this.context.blockedPeers().add(vmId);
		}
		else {
			this.context.blockedPeers().remove(vmId);
		}
		OutgoingLink link = this.links.get(vmId);
		if (link != null) {
			link.setBlocked(isBlocked);
		}
	}

	@Override
	public boolean send(String vmId, PeerMessage message) {
		if (vmId.equals(this.context.self())) {
			boolean queued = this.localRing.offer(message);
			if (!queued) {
				this.context.statistics().droppedFull.increment();
			}
			wakeup();
			return queued;
		}
		OutgoingLink link = this.links.get(vmId);
		boolean queued = link != null && link.offer(message);
		if (queued) {
			wakeup();
		}
		return queued;
	}

	private void wakeup() {
		if (Thread.currentThread() != this.thread && this.wakeupPending.compareAndSet(false, true)) {
			this.selector.wakeup();
		}
	}

	@Override
	public <M extends PeerMessage> void handle(Class<M> type, BiConsumer<String, M> handler) {
		this.handlers.put(type, (from, message) -> handler.accept(from, type.cast(message)));
	}

	private void run() {
		while (!this.stopping) {
			try {
				long now = this.time.nanos();
				for (OutgoingLink link = this.replacedLinks.poll(); link != null; link = this.replacedLinks.poll()) {
					link.close();
				}
				this.links.values().forEach((link) -> link.step(this.selector, now));
				this.incoming.removeIf((link) -> link.step(now));
				this.selector.select(this.localRing.isEmpty() ? SELECT_MILLIS : 1);
				this.wakeupPending.set(false);
				serve();
			}
			catch (IOException | RuntimeException ex) {
				LOG.atError().addKeyValue("event", "peer_io_failed").setCause(ex).log();
			}
		}
		this.links.values().forEach(OutgoingLink::close);
		this.incoming.forEach(IncomingLink::close);
	}

	private void serve() throws IOException {
		long now = this.time.nanos();
		for (SelectionKey key : this.selector.selectedKeys()) {
			if (!key.isValid()) {
				continue;
			}
			if (key.attachment() instanceof OutgoingLink link) {
				link.onReady(key, now);
			}
			else if (key.attachment() instanceof IncomingLink link) {
				link.onReady(key, now);
			}
			else if (key.isAcceptable()) {
				accept(now);
			}
		}
		this.selector.selectedKeys().clear();
		for (PeerMessage message = this.localRing.poll(); message != null; message = this.localRing.poll()) {
			receive(this.context.self(), message);
		}
		this.links.values().forEach((link) -> link.sendQueued(now));
	}

	private void accept(long nowNanos) throws IOException {
		ServerSocketChannel current = this.server;
		SocketChannel socket = (current != null) ? current.accept() : null;
		if (socket == null) {
			return;
		}
		if (this.incoming.size() >= MAX_INCOMING_LINKS) {
			socket.close();
			return;
		}
		socket.configureBlocking(false);
		socket.socket().setTcpNoDelay(true);
		SelectionKey key = socket.register(this.selector, SelectionKey.OP_READ);
		IncomingLink link = new IncomingLink(socket, key, this.context, this::receive, nowNanos);
		key.attach(link);
		this.incoming.add(link);
	}

	private void receive(String from, PeerMessage message) {
		BiConsumer<String, PeerMessage> handler = this.handlers.get(message.getClass());
		if (handler == null) {
			return;
		}
		this.context.statistics().receivedMessages.increment();
		try {
			handler.accept(from, message);
		}
		catch (RuntimeException ex) {
			LOG.atError()
				.addKeyValue("event", "peer_handler_failed")
				.addKeyValue("type", message.getClass().getSimpleName())
				.setCause(ex)
				.log();
		}
	}

	@Override
	public void close() {
		this.stopping = true;
		this.selector.wakeup();
		try {
			this.thread.join(JOIN_MILLIS);
			ServerSocketChannel current = this.server;
			if (current != null) {
				current.close();
			}
			this.selector.close();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		catch (IOException ex) {
			LOG.atWarn().addKeyValue("event", "peer_close_failed").addKeyValue("reason", ex.getMessage()).log();
		}
	}

	/**
	 * State that all links of a transport share.
	 */
	record LinkContext(String self, String secret, PeerCodec codec, TransportLimits limits,
			TransportStatistics statistics, Set<String> knownPeers, Set<String> blockedPeers) {

	}

}
