package org.skylarkstack.kernel;

/**
 * Plug-in that registers implementations of interfaces. Plug-ins are found by
 * {@link java.util.ServiceLoader}.
 */
public interface Plugin {

	/**
	 * Registers the implementations that this plug-in provides.
	 * @param registry the registry to add them to
	 */
	void register(PluginRegistry registry);

}
