package org.skylarkstack.membership;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.peer.PeerMessage;

/**
 * Periodic message from one daemon to another that shows that the sender is live.
 *
 * @param dataCentre the sender's data centre
 * @param incarnation the sender's incarnation
 * @param sentNanos the sender's monotonic time in nanoseconds when it was sent
 * @param echoIncarnation the receiver's incarnation in the last heartbeat that the sender
 * received from it, or 0 if there was none
 * @param echoNanos the receiver's timestamp {@code sentNanos} in that heartbeat
 * @param appliedNumber the number up to which the sender has applied all tickets
 * @param leaving whether the sender is shutting down
 * @param loan the loan from the sender to the receiver, or {@code null} for none
 */
public record Heartbeat(String dataCentre, long incarnation, long sentNanos, long echoIncarnation, long echoNanos,
		long appliedNumber, boolean leaving, @Nullable LoanOffer loan) implements PeerMessage {

}
