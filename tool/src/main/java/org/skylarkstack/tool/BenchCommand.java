package org.skylarkstack.tool;

import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.bench.BenchOptions;
import org.skylarkstack.bench.BenchResults;
import org.skylarkstack.bench.Experiment;
import org.skylarkstack.bench.FaultStep;
import org.skylarkstack.bench.ResultWriter;

/**
 * Subcommand that runs a benchmark experiment on a local fleet.
 */
final class BenchCommand extends Command {

	private static final String DEFAULT_SEED = "1";

	BenchCommand() {
		super("bench", "run load and faults against a fleet on loopback and report the results");
	}

	@Override
	Options options() {
		return new Options().addOption("d", "deployment", true, "school (default) or pumps")
			.addOption("p", "policies", true, "comma-separated placement policies; default fair-queue")
			.addOption("l", "loads", true,
					"comma-separated loads as multiples of the measured capacity; default 0.5,1.0,1.3")
			.addOption("r", "repeats", true, "number of runs for each policy and load; default 3")
			.addOption("t", "seconds", true, "duration of a run in seconds; default 30")
			.addOption("s", "seed", true, "seed; default 1")
			.addOption("f", "faults", true, "fault schedule, such as 5:crash-engine:summary-model-1,9:store-down")
			.addOption("n", "noisy-team", true, "team that sends requests at five times its rate")
			.addOption("D", "direct", false, "compare with direct calls to the engines")
			.addOption("S", "streams", true,
					"number of open streams for the heap measurement of --direct; default 2000")
			.addOption("o", "output", true, "directory for the results; default bench-results")
			.addOption(null, "smoke", false, "small run that takes less than a minute");
	}

	@Override
	ExitCode execute(CommandLine line) {
		BenchOptions options = line.hasOption("smoke") ? smokeOptions(line) : parseOptions(line);
		BenchResults results = new Experiment(options, System.out::println).run();
		Path page = new ResultWriter(options.output()).write(results);
		System.out.print(ResultWriter.text(results));
		System.out.println("report: " + page);
		boolean noBreaches = results.runs().stream().allMatch((run) -> run.figures().breaches().total() == 0);
		return noBreaches ? ExitCode.OK : ExitCode.FAILED;
	}

	private static BenchOptions parseOptions(CommandLine line) {
		return new BenchOptions(line.getOptionValue("deployment", "school"), policies(line),
				splitList(line.getOptionValue("loads", "0.5,1.0,1.3")).map(Double::parseDouble).toList(),
				Integer.parseInt(line.getOptionValue("repeats", "3")),
				Double.parseDouble(line.getOptionValue("seconds", "30")),
				Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED)),
				FaultStep.parse(line.getOptionValue("faults", "")), line.getOptionValue("noisy-team", ""),
				line.hasOption("direct"), Integer.parseInt(line.getOptionValue("streams", "2000")), output(line));
	}

	private static BenchOptions smokeOptions(CommandLine line) {
		return new BenchOptions("smoke", policies(line), List.of(0.7), 1, 4,
				Long.parseLong(line.getOptionValue("seed", DEFAULT_SEED)),
				FaultStep.parse(line.getOptionValue("faults", "")), line.getOptionValue("noisy-team", ""),
				line.hasOption("direct"), Integer.parseInt(line.getOptionValue("streams", "0")), output(line));
	}

	private static List<String> policies(CommandLine line) {
		return splitList(line.getOptionValue("policies", "fair-queue")).toList();
	}

	private static Path output(CommandLine line) {
		return Path.of(line.getOptionValue("output", "bench-results"));
	}

	private static Stream<String> splitList(String text) {
		return Stream.of(text.split(",")).map(String::trim).filter((part) -> !part.isEmpty());
	}

}
