package org.skylarkstack.store;

/**
 * Whether a failed write took effect.
 */
public enum WriteEffect {

	/** The write did not take effect and never will. */
	NOT_APPLIED,

	/** The write may have taken effect, or may still do so. */
	UNKNOWN

}
