package org.skylarkstack.limit;

/**
 * What a borrower still holds of a grant.
 *
 * @param grantId the number of the grant
 * @param remainingTokens the tokens not yet spent or returned
 */
public record GrantBalance(long grantId, long remainingTokens) {

}
