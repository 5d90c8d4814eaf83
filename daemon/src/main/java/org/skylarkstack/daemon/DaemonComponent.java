package org.skylarkstack.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.skylarkstack.settings.DaemonSettings;

/**
 * Assembles a daemon.
 */
@Singleton
@Component(modules = { PlatformModule.class, FleetModule.class, RequestModule.class, ApiModule.class })
interface DaemonComponent {

	Daemon daemon();

	/**
	 * Creates components.
	 */
	@Component.Factory
	interface Factory {

		DaemonComponent create(@BindsInstance DaemonSettings settings);

	}

}
