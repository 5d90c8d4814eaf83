package org.skylarkstack.peers;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import org.jspecify.annotations.Nullable;
import org.skylarkstack.edge.SocketBinder;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sends usage reports over UDP to the daemons that {@link ReportRouter} selects, and
 * receives theirs. A process reports to its group as soon as it knows the members, and
 * each member answers the first report of a process with its own, so that the new process
 * does not wait for the next round. The time until the next round grows with the number
 * of bytes that a round sends, so that a daemon's traffic stays bounded.
 */
public final class PeerLink {

	private static final Logger log = LoggerFactory.getLogger(PeerLink.class);

	// Changes of usage within this time are sent in one report.
	private static final long BATCH_DELAY_MILLIS = 20;

	// Largest datagram that usual links carry without fragmentation.
	private static final int MAX_DATAGRAM_BYTES = 1_400;

	// Reports that are relayed more slowly than peers time out make a fleet look
	// partitioned, so the bound leaves room for reports that are twice as long after
	// crashes.
	private static final long MAX_BYTES_PER_SECOND = 192 * 1024;

	private static final long MILLIS_PER_SECOND = 1_000;

	// A longer time adds to the age of the reports, by which teams exceed their limits.
	private static final long RELAY_SPREAD_MILLIS = 100;

	private final Peer self;

	private final EventLoop loop;

	private final PeerUsage usage;

	private final LongFunction<UsageReport> reportFactory;

	private final ReportRouter router;

	private @Nullable Channel channel;

	private long sequenceNumber;

	private boolean reportScheduled;

	/**
	 * Creates a link.
	 * @param self this daemon
	 * @param loop the event loop that sends and receives
	 * @param usage stores the reports of other daemons
	 * @param reportFactory creates this daemon's report with a given sequence number
	 */
	public PeerLink(Peer self, EventLoop loop, PeerUsage usage, LongFunction<UsageReport> reportFactory) {
		this.self = self;
		this.loop = loop;
		this.usage = usage;
		this.reportFactory = reportFactory;
		this.router = new ReportRouter(self, usage);
	}

	/** Binds the socket and starts to send and receive reports. */
	public void start() {
		this.channel = SocketBinder.bind(
				new Bootstrap().group(this.loop).channel(NioDatagramChannel.class).handler(new Receiver()),
				this.self.address());
		scheduleRound(ReportRouter.ROUND_PERIOD_MILLIS);
	}

	/**
	 * Sets the daemons that reports are exchanged with.
	 * @param peers the other daemons
	 */
	public void setPeers(Collection<Peer> peers) {
		this.router.setPeers(peers);
		scheduleReport();
	}

	/**
	 * Schedules a report to this daemon's group, because its usage has changed.
	 */
	public void scheduleReport() {
		if (!this.reportScheduled) {
			this.reportScheduled = true;
			this.loop.schedule(this::sendOwnReport, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		}
	}

	private void sendOwnReport() {
		this.reportScheduled = false;
		Channel open = this.channel;
		if (open != null) {
			send(open, this.router.toGroup(ownReport()));
			open.flush();
		}
	}

	private UsageReport ownReport() {
		return this.reportFactory.apply(++this.sequenceNumber);
	}

	private void scheduleRound(long periodMillis) {
		long jitter = ThreadLocalRandom.current().nextLong(periodMillis / 4);
		this.loop.schedule(this::runRound, periodMillis - periodMillis / 8 + jitter, TimeUnit.MILLISECONDS);
	}

	private void runRound() {
		Channel open = this.channel;
		long sent = 0;
		try {
			sent = (open != null) ? sendRound(open) : 0;
		}
		catch (RuntimeException ex) {
			log.atError().addKeyValue("event", "peer-round-failed").setCause(ex).log();
		}
		scheduleRound(Math.max(ReportRouter.ROUND_PERIOD_MILLIS, sent * MILLIS_PER_SECOND / MAX_BYTES_PER_SECOND));
	}

	private long sendRound(Channel open) {
		long sent = 0;
		List<ReportTransfer> transfers = this.router.nextRound(ownReport(), System.nanoTime(),
				System.currentTimeMillis());
		for (ReportTransfer transfer : transfers) {
			sent += transfer.relayed() ? relay(open, transfer) : send(open, transfer);
		}
		open.flush();
		return sent;
	}

	// The relayed reports of a round are more than the queue of a slow link holds. Sent
	// at once, those of the last targets are lost in each round.
	private long relay(Channel open, ReportTransfer transfer) {
		long bytes = 0;
		List<byte[]> datagrams = datagrams(transfer.reports().stream().map(UsageCodec::encode).toList());
		for (DelayedTarget next : DelayedTarget.spread(transfer.targets(), RELAY_SPREAD_MILLIS,
				ThreadLocalRandom.current())) {
			bytes += datagrams.stream().mapToLong((datagram) -> datagram.length).sum();
			this.loop.schedule(() -> {
				datagrams.forEach((datagram) -> write(open, datagram, next.target()));
				open.flush();
			}, next.delayMillis(), TimeUnit.MILLISECONDS);
		}
		return bytes;
	}

	private static long send(Channel open, ReportTransfer transfer) {
		List<byte[]> datagrams = datagrams(transfer.reports().stream().map(UsageCodec::encode).toList());
		long bytes = 0;
		for (Peer target : transfer.targets()) {
			for (byte[] datagram : datagrams) {
				bytes += write(open, datagram, target);
			}
		}
		return bytes;
	}

	private static long write(Channel open, byte[] datagram, Peer target) {
		open.write(new DatagramPacket(Unpooled.wrappedBuffer(datagram), target.address()));
		return datagram.length;
	}

	private static List<byte[]> datagrams(List<byte[]> reports) {
		List<byte[]> datagrams = new ArrayList<>();
		ByteArrayOutputStream current = new ByteArrayOutputStream();
		for (byte[] report : reports) {
			if (current.size() > 0 && current.size() + report.length > MAX_DATAGRAM_BYTES) {
				datagrams.add(current.toByteArray());
				current.reset();
			}
			current.writeBytes(report);
		}
		datagrams.add(current.toByteArray());
		return datagrams;
	}

	/**
	 * Receives the reports of other daemons.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			byte[] bytes = new byte[packet.content().readableBytes()];
			packet.content().readBytes(bytes);
			List<UsageReport> received = UsageCodec.decode(bytes);
			if (received.isEmpty()) {
				log.atWarn()
					.addKeyValue("event", "peer-datagram-unreadable")
					.addKeyValue("from", packet.sender())
					.log();
			}
			long now = System.nanoTime();
			// The first report of a datagram is that of its sender.
			boolean newProcess = !received.isEmpty() && !PeerLink.this.usage.knowsProcess(received.get(0));
			for (UsageReport report : received) {
				if (!report.vmId().equals(PeerLink.this.self.vmId())) {
					PeerLink.this.usage.recordReport(report, now);
				}
			}
			if (newProcess) {
				Peer sender = new Peer(received.get(0).vmId(), "", packet.sender());
				send(context.channel(), ReportTransfer.own(ownReport(), List.of(sender)));
				context.flush();
			}
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A send to a peer that is down makes the next send fail. No retry is needed,
			// because reports are sent in every round.
			log.atDebug().addKeyValue("event", "peer-send-failed").setCause(cause).log();
		}

	}

}
