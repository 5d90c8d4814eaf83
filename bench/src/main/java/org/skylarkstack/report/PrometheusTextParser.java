package org.skylarkstack.report;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * Parser for the Prometheus text format. Ignores comments, timestamps and exemplars.
 */
final class PrometheusTextParser {

	private final String line;

	private int position;

	private PrometheusTextParser(String line) {
		this.line = line;
	}

	/**
	 * Parses an exposition.
	 * @param text the exposition in the Prometheus text format
	 * @return the samples in the order of the text
	 * @throws IllegalArgumentException if a line is malformed
	 */
	static List<MetricSample> parse(String text) {
		List<MetricSample> samples = new ArrayList<>();
		// Other line breaks are not escaped in labels.
		Stream.of(text.split("\n"))
			.map(String::strip)
			.filter((line) -> !line.isEmpty() && !line.startsWith("#"))
			.forEach((line) -> samples.add(new PrometheusTextParser(line).parseSample()));
		return samples;
	}

	private MetricSample parseSample() {
		try {
			String name = readUntil("{ \t");
			Map<String, String> labels = new HashMap<>();
			if (current() == '{') {
				this.position++;
				readLabels(labels);
			}
			skipBlanks();
			return new MetricSample(name, labels, parseValue(readUntil(" \t")));
		}
		catch (NumberFormatException | StringIndexOutOfBoundsException ex) {
			throw new IllegalArgumentException("malformed line \"%s\" in Prometheus text".formatted(this.line), ex);
		}
	}

	private void readLabels(Map<String, String> labels) {
		skipBlanks();
		while (current() != '}') {
			String name = readUntil("= \t");
			this.position = this.line.indexOf('"', this.position) + 1;
			labels.put(name, readQuoted());
			skipBlanks();
			if (current() == ',') {
				this.position++;
				skipBlanks();
			}
		}
		this.position++;
	}

	private String readQuoted() {
		StringBuilder value = new StringBuilder();
		while (current() != '"') {
			char character = current();
			if (character == '\\') {
				this.position++;
				character = (current() == 'n') ? '\n' : current();
			}
			value.append(character);
			this.position++;
		}
		this.position++;
		return value.toString();
	}

	private char current() {
		return this.line.charAt(this.position);
	}

	private String readUntil(String delimiters) {
		int start = this.position;
		while (this.position < this.line.length() && delimiters.indexOf(current()) < 0) {
			this.position++;
		}
		return this.line.substring(start, this.position);
	}

	private void skipBlanks() {
		while (this.position < this.line.length() && Character.isWhitespace(current())) {
			this.position++;
		}
	}

	private static double parseValue(String text) {
		return switch (text) {
			case "+Inf" -> Double.POSITIVE_INFINITY;
			case "-Inf" -> Double.NEGATIVE_INFINITY;
			default -> Double.parseDouble(text);
		};
	}

}
