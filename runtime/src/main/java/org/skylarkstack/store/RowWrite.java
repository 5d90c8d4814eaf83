package org.skylarkstack.store;

import org.jspecify.annotations.Nullable;

/**
 * Write or deletion of one row, with an optional condition.
 *
 * @param row the row; its attributes replace all attributes of the stored row
 * @param condition the condition, or {@code null} for none
 * @param delete whether the row is deleted instead of written
 */
public record RowWrite(Row row, @Nullable RowCondition condition, boolean delete) {

	/**
	 * Creates a write.
	 * @param row the row
	 * @param condition the condition, or {@code null} for none
	 * @return the write
	 */
	public static RowWrite put(Row row, @Nullable RowCondition condition) {
		return new RowWrite(row, condition, false);
	}

	/**
	 * Creates a deletion.
	 * @param row the row; only its keys are used
	 * @param condition the condition, or {@code null} for none
	 * @return the deletion
	 */
	public static RowWrite delete(Row row, @Nullable RowCondition condition) {
		return new RowWrite(row, condition, true);
	}

}
