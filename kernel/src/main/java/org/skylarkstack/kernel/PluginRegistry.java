package org.skylarkstack.kernel;

import java.util.Map;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Supplier;

/**
 * Registry of the implementations that plug-ins provide, by interface and name. It is
 * filled once, at start-up.
 */
public final class PluginRegistry {

	private final Map<Class<?>, Map<String, Supplier<?>>> factories = new java.util.HashMap<>();

	/**
	 * Loads all plug-ins on the class path.
	 * @return the filled registry
	 */
	public static PluginRegistry load() {
		PluginRegistry registry = new PluginRegistry();
		ServiceLoader.load(Plugin.class).forEach((plugin) -> plugin.register(registry));
		return registry;
	}

	/**
	 * Adds an implementation of an interface.
	 * @param kind the interface
	 * @param name the name of the implementation, unique for the interface
	 * @param factory creates an instance of the implementation
	 * @param <T> the interface
	 */
	public <T> void add(Class<T> kind, String name, Supplier<? extends T> factory) {
		Supplier<?> previous = this.factories.computeIfAbsent(kind, (key) -> new TreeMap<>())
			.putIfAbsent(name, factory);
		if (previous != null) {
			throw new IllegalStateException("%s %s is registered twice".formatted(kind.getSimpleName(), name));
		}
	}

	/**
	 * Creates an instance of an implementation.
	 * @param kind the interface
	 * @param name the name of the implementation
	 * @param <T> the interface
	 * @return a new instance
	 */
	public <T> T create(Class<T> kind, String name) {
		Supplier<?> factory = this.factories.getOrDefault(kind, Map.of()).get(name);
		if (factory == null) {
			throw new IllegalArgumentException(
					"%s %s is not registered; known: %s".formatted(kind.getSimpleName(), name, names(kind)));
		}
		return kind.cast(factory.get());
	}

	/**
	 * Returns the names of all implementations of an interface.
	 * @param kind the interface
	 * @return the names in alphabetical order
	 */
	public Set<String> names(Class<?> kind) {
		return new TreeSet<>(this.factories.getOrDefault(kind, Map.of()).keySet());
	}

}
