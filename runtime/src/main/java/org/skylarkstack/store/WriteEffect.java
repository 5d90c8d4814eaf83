package org.skylarkstack.store;

/**
 * Effect of a failed write.
 */
public enum WriteEffect {

	/** The write did not take effect and never will. */
	NOT_APPLIED,

	/** The write may have taken effect, or may still do so. */
	UNKNOWN

}
