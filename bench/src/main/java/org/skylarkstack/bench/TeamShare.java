package org.skylarkstack.bench;

/**
 * Team with its share of the load.
 *
 * @param id the identifier of the team
 * @param share the share of all requests that the team sends at its usual rate
 * @param weight the weight of the team in fair sharing
 */
public record TeamShare(String id, double share, double weight) {

	String key() {
		return "bench-key-of-" + this.id;
	}

}
