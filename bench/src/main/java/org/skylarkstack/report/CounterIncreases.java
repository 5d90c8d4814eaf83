package org.skylarkstack.report;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Increases of counters over a time window, summed over all daemons.
 *
 * <p>
 * A counter that decreases was reset by a restart and counts from 0. A daemon whose first
 * scrape is later than the earliest scrape of all daemons is taken to have started after
 * that scrape, and its counters count from 0. The counters of a daemon with a single
 * scrape also count from 0, so that they count from the start of the daemons if all
 * scrapes have the same time.
 */
final class CounterIncreases {

	private final Map<String, List<Scrape>> bySource = new TreeMap<>();

	private final long firstMillis;

	private final long lastMillis;

	CounterIncreases(List<Scrape> scrapes) {
		List<Scrape> sorted = new ArrayList<>(scrapes);
		sorted.sort(Comparator.comparingLong(Scrape::epochMillis));
		sorted.forEach(
				(scrape) -> this.bySource.computeIfAbsent(scrape.source(), (source) -> new ArrayList<>()).add(scrape));
		this.firstMillis = sorted.isEmpty() ? 0 : sorted.get(0).epochMillis();
		this.lastMillis = sorted.isEmpty() ? 0 : sorted.get(sorted.size() - 1).epochMillis();
	}

	long lastMillis() {
		return this.lastMillis;
	}

	/**
	 * Returns the part of a window that the scrapes cover.
	 * @param windowMillis the length of the window in milliseconds
	 * @return the covered time in milliseconds
	 */
	long coveredMillis(long windowMillis) {
		return Math.min(windowMillis, this.lastMillis - this.firstMillis);
	}

	/**
	 * Returns the increases of a counter, summed over all daemons for each set of labels.
	 * @param name the counter
	 * @param windowMillis the length of the window that ends at the last scrape, in
	 * milliseconds
	 * @return the increases by labels
	 */
	Map<Map<String, String>, Double> of(String name, long windowMillis) {
		Map<Map<String, String>, Double> increases = new HashMap<>();
		this.bySource.values().forEach((scrapes) -> add(increases, name, scrapes, this.lastMillis - windowMillis));
		return increases;
	}

	private void add(Map<Map<String, String>, Double> increases, String name, List<Scrape> scrapes, long fromMillis) {
		int baseline = 0;
		for (int scrape = 0; scrape < scrapes.size(); scrape++) {
			if (scrapes.get(scrape).epochMillis() <= fromMillis) {
				baseline = scrape;
			}
		}
		boolean fromZero = baseline == 0 && scrapes.get(0).epochMillis() > fromMillis
				&& (scrapes.size() == 1 || scrapes.get(0).epochMillis() > this.firstMillis);
		Map<Map<String, String>, Double> previous = fromZero ? Map.of() : values(scrapes.get(baseline), name);
		for (int scrape = fromZero ? 0 : baseline + 1; scrape < scrapes.size(); scrape++) {
			Map<Map<String, String>, Double> next = values(scrapes.get(scrape), name);
			for (Map.Entry<Map<String, String>, Double> entry : next.entrySet()) {
				double previousValue = previous.getOrDefault(entry.getKey(), 0.0);
				double value = entry.getValue();
				increases.merge(entry.getKey(), (value >= previousValue) ? value - previousValue : value, Double::sum);
			}
			previous = next;
		}
	}

	private static Map<Map<String, String>, Double> values(Scrape scrape, String name) {
		Map<Map<String, String>, Double> values = new HashMap<>();
		for (MetricSample sample : scrape.samples()) {
			if (sample.name().equals(name)) {
				values.merge(sample.labels(), sample.value(), Double::sum);
			}
		}
		return values;
	}

}
