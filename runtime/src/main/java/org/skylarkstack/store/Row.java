package org.skylarkstack.store;

import java.util.Map;

/**
 * Row of the platform's table.
 *
 * @param partition the partition key
 * @param sort the sort key within the partition
 * @param attributes the attributes
 */
public record Row(String partition, String sort, Map<String, String> attributes) {

	/** Copies the attributes. */
	public Row {
		attributes = Map.copyOf(attributes);
	}

}
