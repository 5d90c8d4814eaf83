package org.skylarkstack.tool;

import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.fleet.LocalFleet;

/**
 * Subcommand that runs a complete fleet on loopback, sends requests to it and prints the
 * outcome of each request.
 */
final class DemoCommand extends Command {

	DemoCommand() {
		super("demo", "run a fleet on loopback, send requests and print their outcomes");
	}

	@Override
	Options options() {
		return new Options().addOption("k", "keep", false, "keep the fleet running until interrupted");
	}

	@Override
	ExitCode execute(CommandLine line) {
		try (LocalFleet fleet = LocalFleet.start(DemoRequests.plan())) {
			List<DemoResult> results = new DemoRequests(fleet).run();
			results.forEach((result) -> System.out.printf("%-36s %-8s %s%n", result.name(),
					result.asExpected() ? "ok" : "FAILED", result.outcome()));
			if (line.hasOption("keep")) {
				printAddresses(fleet);
				ProcessEnd.await();
			}
			return results.stream().allMatch(DemoResult::asExpected) ? ExitCode.OK : ExitCode.FAILED;
		}
	}

	private static void printAddresses(LocalFleet fleet) {
		fleet.vmIds()
			.forEach((vmId) -> System.out.printf("%s callers %s operators %s%n", vmId, fleet.callerUrl(vmId),
					fleet.operatorUrl(vmId)));
		System.out.printf(
				"try: curl -N %s/v1/chat/completions -H 'Authorization: Bearer %s' "
						+ "-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":8,"
						+ "\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'%n",
				fleet.callerUrl(fleet.vmIds().get(0)), DemoRequests.CALLER_KEY, DemoRequests.MODEL);
	}

}
