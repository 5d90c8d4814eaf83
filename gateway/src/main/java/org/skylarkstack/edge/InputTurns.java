package org.skylarkstack.edge;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Connections whose input waits to be decoded. They take turns: one turn of the event
 * loop decodes a bounded number of messages, of each connection a few, so that requests
 * on other connections are handled in between. Designed for a group of callers that send
 * more requests or chunks than the daemon can decode. Confined to the event loop.
 */
final class InputTurns {

	private static final int MESSAGES_PER_TURN = 64;

	private static final int MESSAGES_PER_CONNECTION = 8;

	private final EventLoop loop;

	private final Deque<CallerRequestDecoder> waiting = new ArrayDeque<>();

	private boolean scheduled;

	InputTurns(EventLoop loop) {
		this.loop = loop;
	}

	void add(CallerRequestDecoder decoder) {
		this.waiting.add(decoder);
		schedule();
	}

	// A scheduled task runs after the sockets have been read again. A task that is only
	// executed would run before that.
	private void schedule() {
		if (!this.scheduled) {
			this.scheduled = true;
			this.loop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
		}
	}

	private void run() {
		this.scheduled = false;
		try {
			takeTurns();
		}
		finally {
			// Also after an error on one connection: the others still wait.
			if (!this.waiting.isEmpty()) {
				schedule();
			}
		}
	}

	private void takeTurns() {
		int connections = this.waiting.size();
		int messages = 0;
		while (connections > 0 && messages < MESSAGES_PER_TURN) {
			connections--;
			CallerRequestDecoder next = this.waiting.poll();
			messages += (next != null) ? next.takeTurn(MESSAGES_PER_CONNECTION) : 0;
		}
	}

}
