package org.skylarkstack.store;

import java.util.List;
import java.util.Optional;

/**
 * Client of the platform's transactional table service. Each call blocks at most for the
 * configured timeout.
 */
public interface TableStore {

	/**
	 * Reads a row with strong consistency.
	 * @param partition the partition key
	 * @param sort the sort key
	 * @return the row, if it exists
	 * @throws StoreException if the operation fails
	 */
	Optional<Row> get(String partition, String sort);

	/**
	 * Reads rows of a partition in the order of their sort keys, with strong consistency.
	 * @param partition the partition key
	 * @param afterSort only rows with a greater sort key are returned
	 * @param limit the maximum number of rows
	 * @return the first rows; fewer than the limit if the service ends the page at its
	 * maximum size (1 MB); empty only if no row matches
	 * @throws StoreException if the operation fails
	 */
	List<Row> query(String partition, String afterSort, int limit);

	/**
	 * Applies all writes in one transaction, or none of them.
	 * @param writes the writes
	 * @return whether all conditions held and the writes were applied
	 * @throws StoreException if the operation fails; {@link StoreException#effect()} says
	 * whether the writes may have been applied
	 */
	boolean write(List<RowWrite> writes);

}
