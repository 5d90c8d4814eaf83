package org.skylarkstack.configurationcheck;

import org.skylarkstack.gateway.RoutingTable;

/**
 * Fields of a configuration as a whole.
 */
public enum TableField implements Field<RoutingTable> {

	/** Version. */
	VERSION {
		@Override
		public Object value(RoutingTable table) {
			return table.version();
		}
	}

}
