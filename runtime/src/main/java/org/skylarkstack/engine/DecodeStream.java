package org.skylarkstack.engine;

import org.jspecify.annotations.Nullable;

/**
 * Answer of a decode engine, read event by event.
 */
public interface DecodeStream extends AutoCloseable {

	/**
	 * Reads the next event, waiting up to the idle bound.
	 * @return the event, or {@code null} after the end marker
	 * @throws org.skylarkstack.kernel.RouterException if the engine failed, went silent,
	 * or ended without the end marker
	 */
	@Nullable DecodeEvent next();

	@Override
	void close();

}
