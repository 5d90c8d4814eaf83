import java.io.IOException;
import java.io.Reader;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Properties;

/** The platform's names and configurations, which are files because only one module contains them. */
final class Wire {

	private static final Path FOLDER = Path.of("review/standin-2/wire");

	private static final Properties names = new Properties();

	static {
		try (Reader reader = Files.newBufferedReader(FOLDER.resolve("names.properties"))) {
			names.load(reader);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private Wire() {
	}

	static String name(String key) {
		return names.getProperty(key);
	}

	/** Returns a configuration with the values that are filled in. */
	static String configuration(String file, Object... values) {
		try {
			return Files.readString(FOLDER.resolve(file)).strip().formatted(values);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
