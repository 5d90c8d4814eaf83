package org.skylarkstack.bench;

/**
 * Team of a load.
 *
 * @param id the team
 * @param share the share of all requests at its usual rate
 * @param weight the weight of its service
 */
public record TeamShare(String id, double share, double weight) {

	String key() {
		return "bench-key-of-" + this.id;
	}

}
