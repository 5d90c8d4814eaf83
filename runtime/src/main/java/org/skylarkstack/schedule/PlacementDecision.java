package org.skylarkstack.schedule;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.kernel.ErrorType;

/**
 * Decision of a policy about one request.
 *
 * @param requestId the identifier of the request
 * @param holder the VM and daemon incarnation that wait for the decision
 * @param grantId the identifier of the grant; 0 for a refusal
 * @param placement the engines, or {@code null} for a refusal
 * @param refusal the reason of the refusal, or {@code null} for a grant
 */
public record PlacementDecision(String requestId, String holder, long grantId, @Nullable Placement placement,
		@Nullable ErrorType refusal) {

	static PlacementDecision grant(OfferedRequest offered, long grantId, String prefillEngineId,
			String decodeEngineId) {
		PlacementRequest request = offered.request();
		return new PlacementDecision(request.requestId(), offered.holder(), grantId,
				new Placement(request.requestId(), request.model(), prefillEngineId, decodeEngineId), null);
	}

	static PlacementDecision refuse(OfferedRequest offered, ErrorType reason) {
		return new PlacementDecision(offered.request().requestId(), offered.holder(), 0, null, reason);
	}

}
