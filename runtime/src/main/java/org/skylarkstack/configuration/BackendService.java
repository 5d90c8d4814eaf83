package org.skylarkstack.configuration;

import java.util.List;

/**
 * Plain HTTP service with its backend servers.
 *
 * @param id the identifier
 * @param servers the backend servers
 */
public record BackendService(String id, List<BackendServer> servers) implements ConfigurationObject {

	/** Copies the list. */
	public BackendService {
		servers = List.copyOf(servers);
	}

	@Override
	public ObjectKind objectKind() {
		return ObjectKind.SERVICE;
	}

}
