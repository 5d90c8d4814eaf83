package org.skylarkstack.bench;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Fault that is injected at a given time of a run.
 *
 * @param atSeconds the time from the start of the run in seconds
 * @param kind the fault
 * @param target the VM, engine or plain service, or an empty string for the platform's
 * store
 */
public record FaultStep(double atSeconds, FaultKind kind, String target) {

	/**
	 * Parses a schedule such as {@code 5:crash-engine:summary-model-1,9:store-down}.
	 * @param text the steps, separated by commas; each is a time in seconds, a fault and
	 * its target
	 * @return the steps in order of time
	 */
	public static List<FaultStep> parse(String text) {
		List<FaultStep> steps = new ArrayList<>();
		for (String step : text.split(",", -1)) {
			if (!step.isBlank()) {
				String[] parts = step.trim().split(":", 3);
				if (parts.length < 2) {
					throw new IllegalArgumentException("fault step %s has no fault kind".formatted(step));
				}
				steps.add(new FaultStep(Double.parseDouble(parts[0]), FaultKind.parse(parts[1]),
						(parts.length > 2) ? parts[2] : ""));
			}
		}
		steps.sort(Comparator.comparingDouble(FaultStep::atSeconds));
		return steps;
	}

}
