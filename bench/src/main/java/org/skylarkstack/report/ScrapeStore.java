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
 * Reads daemons' metrics endpoints and saved scrapes. A saved scrape is a file named
 * {@code SOURCE@MILLIS.prom}.
 */
public final class ScrapeStore {

	private static final String SUFFIX = ".prom";

	private final OkHttpClient client = new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(5)).build();

	/**
	 * Reads an endpoint.
	 * @param url the URL of the metrics
	 * @return the text
	 * @throws IOException if the daemon does not answer with status 200
	 */
	public String fetch(String url) throws IOException {
		try (Response response = this.client.newCall(new Request.Builder().url(url).build()).execute()) {
			if (response.code() != 200) {
				throw new IOException("%s answered with status %d".formatted(url, response.code()));
			}
			return response.body().string();
		}
	}

	/**
	 * Returns the name of a source that may be part of a file name.
	 * @param url the URL
	 * @return the source
	 */
	public static String sourceName(String url) {
		return url.replaceFirst("^[a-z]+://", "").replaceAll("[^A-Za-z0-9._-]", "_");
	}

	/**
	 * Saves a scrape.
	 * @param directory the directory, which is created if needed
	 * @param source the daemon
	 * @param epochMillis the time
	 * @param text the metrics
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
	 * Reads the saved scrapes of a directory.
	 * @param directory the directory
	 * @return the scrapes
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
	 * Makes a scrape of a text.
	 * @param source the daemon
	 * @param epochMillis the time
	 * @param text the metrics
	 * @return the scrape
	 */
	public static Scrape parse(String source, long epochMillis, String text) {
		return new Scrape(source, epochMillis, PrometheusTextParser.parse(text));
	}

}
