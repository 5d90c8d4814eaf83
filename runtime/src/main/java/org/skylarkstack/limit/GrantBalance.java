package org.skylarkstack.limit;

/**
 * Unspent tokens of a grant that a borrower holds.
 *
 * @param grantId the number of the grant
 * @param remainingTokens the tokens not yet spent or returned
 */
public record GrantBalance(long grantId, long remainingTokens) {

}
