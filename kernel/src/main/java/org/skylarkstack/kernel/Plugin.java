package org.skylarkstack.kernel;

/**
 * Extension that registers itself. Implementations are found through
 * {@link java.util.ServiceLoader}.
 */
public interface Plugin {

	/**
	 * Registers the parts that this plug-in offers.
	 * @param registry the registry to add to
	 */
	void register(PluginRegistry registry);

}
