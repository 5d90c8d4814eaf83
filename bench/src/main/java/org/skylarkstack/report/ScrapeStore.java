package org.skylarkstack.report;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Reads the metrics endpoints of daemons, and saves and loads scrapes. A saved scrape is
 * a file named {@code SOURCE@MILLIS.prom}.
 */
public final class ScrapeStore {

	private static final String SUFFIX = ".prom";

	private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(5)).build();

	/**
	 * Fetches the metrics of a daemon.
	 * @param url the URL of the metrics endpoint
	 * @return the metrics in the Prometheus text format
	 * @throws IOException if the daemon is unreachable, does not respond within 5 s or
	 * responds with a status other than 200
	 */
	public String fetch(String url) throws IOException {
		try (Response response = this.client.newCall(new Request.Builder().url(url).build()).execute()) {
			if (response.code() != 200) {
				throw new IOException("%s responded with status %d".formatted(url, response.code()));
			}
			return response.body().string();
		}
	}

	/**
	 * Returns the source name of an endpoint, which is safe as a part of a file name.
	 * @param url the URL of the metrics endpoint
	 * @return the URL without its scheme, with unsafe characters replaced by underscores
	 */
	public static String sourceName(String url) {
		return url.replaceFirst("^[a-z]+://", "").replaceAll("[^A-Za-z0-9._-]", "_");
	}

	/**
	 * Saves a scrape.
	 * @param directory the directory, which is created if it does not exist
	 * @param source the source name
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param text the metrics in the Prometheus text format
	 */
	public void save(Path directory, String source, long epochMillis, String text) {
		try {
			Files.createDirectories(directory);
			Files.writeString(directory.resolve(source + "@" + epochMillis + SUFFIX), text);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Loads the saved scrapes of a directory. Ignores files with other names.
	 * @param directory the directory
	 * @return the scrapes in the order of their file names
	 */
	public List<Scrape> load(Path directory) {
		List<Scrape> scrapes = new ArrayList<>();
		try (Stream<Path> files = Files.list(directory)) {
			for (Path file : files.sorted().toList()) {
				String name = file.getFileName().toString();
				int separator = name.lastIndexOf('@');
				if (separator > 0 && name.endsWith(SUFFIX)) {
					long millis = Long.parseLong(name.substring(separator + 1, name.length() - SUFFIX.length()));
					scrapes.add(new Scrape(name.substring(0, separator), millis,
							PrometheusTextParser.parse(Files.readString(file))));
				}
			}
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return scrapes;
	}

	/**
	 * Parses the metrics of a daemon.
	 * @param source the source name
	 * @param epochMillis the wall-clock time in milliseconds since the epoch
	 * @param text the metrics in the Prometheus text format
	 * @return the scrape
	 */
	public static Scrape parse(String source, long epochMillis, String text) {
		return new Scrape(source, epochMillis, PrometheusTextParser.parse(text));
	}

}
