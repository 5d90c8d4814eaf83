package org.skylarkstack.engine;

import org.jspecify.annotations.Nullable;

/**
 * Stream of the events that a decode engine generates.
 */
public interface DecodeStream extends AutoCloseable {

	/**
	 * Reads the next event, waiting up to the idle timeout.
	 * @return the event, or {@code null} after the end marker
	 * @throws org.skylarkstack.kernel.RouterException if the engine failed, stopped
	 * responding, or ended the stream without the end marker
	 */
	@Nullable DecodeEvent next();

	@Override
	void close();

}
