package org.skylarkstack.store;

import java.util.Map;

/**
 * Row of the platform's table service.
 *
 * @param partition the partition key
 * @param sort the sort key within the partition
 * @param attributes the attribute values by name
 */
public record Row(String partition, String sort, Map<String, String> attributes) {

	/** Copies the attributes. */
	public Row {
		attributes = Map.copyOf(attributes);
	}

}
