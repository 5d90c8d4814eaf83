package org.skylarkstack.daemon;

import dagger.BindsInstance;
import dagger.Component;
import jakarta.inject.Singleton;
import org.skylarkstack.settings.DaemonSettings;

/**
 * Dagger component that assembles a daemon.
 */
@Singleton
@Component(modules = { PlatformModule.class, FleetModule.class, RequestModule.class, ApiModule.class })
interface DaemonComponent {

	Daemon daemon();

	/**
	 * Creates the component from the settings.
	 */
	@Component.Factory
	interface Factory {

		DaemonComponent create(@BindsInstance DaemonSettings settings);

	}

}
