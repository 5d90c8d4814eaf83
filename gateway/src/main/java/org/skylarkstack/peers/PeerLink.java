package org.skylarkstack.peers;

import java.net.InetSocketAddress;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Exchanges usage reports with the other daemons by datagrams. Each daemon sends to all
 * others; the period grows with their number, so that a daemon's traffic stays bounded.
 */
public final class PeerLink {

	private static final Logger log = LoggerFactory.getLogger(PeerLink.class);

	private static final long PERIOD_MILLIS = 200;

	// Bounds what a daemon sends to 30 datagrams a second.
	private static final long MILLIS_PER_PEER = 33;

	private final EventLoop loop;

	private final PeerUsage usage;

	private final LongFunction<UsageReport> reports;

	private Collection<InetSocketAddress> peers = List.of();

	private @Nullable Channel channel;

	private long number;

	/**
	 * Creates a link.
	 * @param loop the event loop
	 * @param usage takes the reports of others
	 * @param reports creates the report with a number
	 */
	public PeerLink(EventLoop loop, PeerUsage usage, LongFunction<UsageReport> reports) {
		this.loop = loop;
		this.usage = usage;
		this.reports = reports;
	}

	/**
	 * Starts to listen and to send.
	 * @param address the address of this daemon for peers
	 */
	public void start(InetSocketAddress address) {
		this.channel = new Bootstrap().group(this.loop)
			.channel(NioDatagramChannel.class)
			.handler(new Receiver())
			.bind(address)
			.syncUninterruptibly()
			.channel();
		scheduleReport();
	}

	/**
	 * Sets who gets reports.
	 * @param addresses the addresses of the other daemons
	 */
	public void peers(Collection<InetSocketAddress> addresses) {
		this.peers = List.copyOf(addresses);
	}

	private void scheduleReport() {
		long period = Math.max(PERIOD_MILLIS, this.peers.size() * MILLIS_PER_PEER);
		long jitter = ThreadLocalRandom.current().nextLong(period / 4);
		this.loop.schedule(this::report, period - period / 8 + jitter, TimeUnit.MILLISECONDS);
	}

	private void report() {
		Channel open = this.channel;
		if (open != null && !this.peers.isEmpty()) {
			byte[] bytes = UsageCodec.encode(this.reports.apply(++this.number));
			this.peers.forEach((peer) -> open.write(new DatagramPacket(Unpooled.wrappedBuffer(bytes), peer)));
			open.flush();
		}
		scheduleReport();
	}

	/**
	 * Takes the reports of others.
	 */
	private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

		@Override
		protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
			byte[] bytes = new byte[packet.content().readableBytes()];
			packet.content().readBytes(bytes);
			UsageReport report = UsageCodec.decode(bytes);
			if (report == null) {
				log.atWarn()
					.addKeyValue("event", "peer-datagram-unreadable")
					.addKeyValue("from", packet.sender())
					.log();
				return;
			}
			PeerLink.this.usage.received(report, System.nanoTime());
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
			// A peer that is down makes the next send fail; reports are sent again
			// anyway.
			log.atDebug().addKeyValue("event", "peer-send-failed").setCause(cause).log();
		}

	}

}
