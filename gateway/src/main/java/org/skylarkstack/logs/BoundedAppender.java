package org.skylarkstack.logs;

import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.AppenderBase;
import org.skylarkstack.text.QuotedText;
import org.slf4j.event.KeyValuePair;

/**
 * Appender that queues log lines for a writer thread. While the queue is full, lines are
 * dropped and counted, and the count is logged with the next lines that are written.
 */
public final class BoundedAppender extends AppenderBase<ILoggingEvent> {

	private static final int MAX_QUEUED_LINES = 2_048;

	// Lines logged within this time are written together.
	private static final long BATCH_DELAY_MILLIS = 100;

	private static final long STOP_TIMEOUT_MILLIS = 100;

	private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

	private final AtomicLong dropped = new AtomicLong();

	private final PrintStream out;

	private final Thread writer = new Thread(this::runWriter, "log-writer");

	/**
	 * Creates an appender.
	 * @param out the stream to write the lines to
	 */
	public BoundedAppender(PrintStream out) {
		this.out = out;
	}

	@Override
	public void start() {
		super.start();
		this.writer.setDaemon(true);
		this.writer.start();
	}

	@Override
	protected void append(ILoggingEvent event) {
		if (!this.queue.offer(format(event))) {
			this.dropped.incrementAndGet();
		}
	}

	private static String format(ILoggingEvent event) {
		StringBuilder line = new StringBuilder(160);
		line.append("time=").append(Instant.ofEpochMilli(event.getTimeStamp()));
		line.append(" level=").append(event.getLevel());
		List<KeyValuePair> pairs = event.getKeyValuePairs();
		if (pairs != null) {
			pairs.forEach((pair) -> appendPair(line, pair.key, String.valueOf(pair.value)));
		}
		String message = event.getFormattedMessage();
		if (message != null && !message.isEmpty()) {
			appendPair(line, "msg", message);
		}
		for (IThrowableProxy cause = event.getThrowableProxy(); cause != null; cause = cause.getCause()) {
			appendPair(line, "error", cause.getClassName() + ": " + cause.getMessage());
		}
		return line.append('\n').toString();
	}

	// Identifiers in the log come from other processes and must not start a line.
	private static void appendPair(StringBuilder line, String key, String value) {
		line.append(' ').append(key).append('=');
		boolean plain = !value.isEmpty() && value.chars().allMatch((c) -> c > ' ' && c < 0x7f && c != '"' && c != '=');
		if (plain) {
			line.append(value);
		}
		else {
			line.append(QuotedText.of(value));
		}
	}

	private void runWriter() {
		List<String> lines = new ArrayList<>();
		try {
			while (true) {
				lines.add(this.queue.take());
				Thread.sleep(BATCH_DELAY_MILLIS);
				writeQueued(lines);
			}
		}
		catch (InterruptedException ex) {
			writeQueued(lines);
			Thread.currentThread().interrupt();
		}
	}

	private synchronized void writeQueued(List<String> lines) {
		this.queue.drainTo(lines);
		long droppedLines = this.dropped.getAndSet(0);
		if (droppedLines > 0) {
			lines.add("level=WARN event=log-lines-dropped count=" + droppedLines + "\n");
		}
		byte[] bytes = String.join("", lines).getBytes(StandardCharsets.UTF_8);
		this.out.write(bytes, 0, bytes.length);
		this.out.flush();
		lines.clear();
	}

	/**
	 * Writes the queued lines, after those that the writer has taken from the queue.
	 * Called once, before the process ends.
	 */
	@Override
	public void stop() {
		super.stop();
		this.writer.interrupt();
		try {
			this.writer.join(STOP_TIMEOUT_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		writeQueued(new ArrayList<>());
	}

}
