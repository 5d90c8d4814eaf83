package org.skylarkstack.tool;

import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.report.BurnCalculator;
import org.skylarkstack.report.BurnReport;
import org.skylarkstack.report.BurnReportWriter;
import org.skylarkstack.report.BurnState;
import org.skylarkstack.report.Scrape;
import org.skylarkstack.report.ScrapeStore;
import org.skylarkstack.report.ServiceLevel;

/**
 * Subcommand that reports error budgets and their burn rates.
 */
final class ReportCommand extends Command {

	private final ScrapeStore store = new ScrapeStore();

	ReportCommand() {
		super("report", "report service levels from the metrics of daemons");
	}

	@Override
	Options options() {
		return new Options().addOption("e", "endpoints", true, "comma-separated URLs of the daemons' metrics endpoints")
			.addOption("d", "scrapes", true, "directory of saved scrapes; new ones are saved there")
			.addOption("c", "count", true, "number of scrapes of each endpoint; default 1")
			.addOption("i", "interval", true, "seconds between two scrapes; default 15")
			.addOption("S", "short", true, "short window in seconds; default 300")
			.addOption("L", "long", true, "long window in seconds; default 3600")
			.addOption("j", "json", false, "print JSON instead of text")
			.addOption("o", "output", true, "directory for burn.json, burn.html and burn.png");
	}

	@Override
	ExitCode execute(CommandLine line) {
		List<Scrape> scrapes = new ArrayList<>();
		if (line.hasOption("scrapes") && java.nio.file.Files.isDirectory(directory(line))) {
			scrapes.addAll(this.store.load(directory(line)));
		}
		boolean complete = !line.hasOption("endpoints") || scrapeEndpoints(line, scrapes);
		if (scrapes.isEmpty()) {
			System.err.println("there are no scrapes; name --endpoints or --scrapes");
			return ExitCode.USAGE;
		}
		ServiceLevel defaults = ServiceLevel.DEFAULT;
		ServiceLevel level = new ServiceLevel(defaults.success(), defaults.fast(), defaults.firstTokenSeconds(),
				defaults.tokenGapSeconds(), seconds(line, "short", defaults.shortWindow()),
				seconds(line, "long", defaults.longWindow()), defaults.teams());
		BurnReport report = new BurnCalculator(level).report(scrapes);
		System.out.print(line.hasOption("json") ? BurnReportWriter.json(report) : BurnReportWriter.text(report));
		if (line.hasOption("output")) {
			Path page = BurnReportWriter.write(report, Path.of(line.getOptionValue("output")));
			System.err.println("report: " + page);
		}
		return (complete && report.state() != BurnState.ACT_NOW) ? ExitCode.OK : ExitCode.FAILED;
	}

	private static Path directory(CommandLine line) {
		return Path.of(line.getOptionValue("scrapes"));
	}

	private static Duration seconds(CommandLine line, String option, Duration defaultValue) {
		return line.hasOption(option) ? Duration.ofSeconds(Long.parseLong(line.getOptionValue(option))) : defaultValue;
	}

	private boolean scrapeEndpoints(CommandLine line, List<Scrape> scrapes) {
		int count = Integer.parseInt(line.getOptionValue("count", "1"));
		long interval = Long.parseLong(line.getOptionValue("interval", "15"));
		boolean complete = true;
		for (int round = 0; round < count; round++) {
			if (round > 0 && !pause(Duration.ofSeconds(interval))) {
				return false;
			}
			for (String url : line.getOptionValue("endpoints").split(",", -1)) {
				complete &= scrapeEndpoint(line, url.trim(), scrapes);
			}
		}
		return complete;
	}

	private boolean scrapeEndpoint(CommandLine line, String url, List<Scrape> scrapes) {
		try {
			String text = this.store.fetch(url);
			long now = System.currentTimeMillis();
			scrapes.add(ScrapeStore.parse(ScrapeStore.sourceName(url), now, text));
			if (line.hasOption("scrapes")) {
				this.store.save(directory(line), ScrapeStore.sourceName(url), now, text);
			}
			return true;
		}
		catch (IOException ex) {
			System.err.println("no metrics from " + url + ": " + ex.getMessage());
			return false;
		}
	}

	private static boolean pause(Duration duration) {
		try {
			Thread.sleep(duration.toMillis());
			return true;
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			return false;
		}
	}

}
