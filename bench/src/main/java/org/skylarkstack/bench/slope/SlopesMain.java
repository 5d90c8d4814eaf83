package org.skylarkstack.bench.slope;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;

/**
 * Measures all slopes and writes them as JSON.
 */
public final class SlopesMain {

	private static final int DEFAULT_REPEATS = 2;

	private SlopesMain() {
	}

	/**
	 * Runs all measurements and writes the slopes.
	 * @param arguments the output file and, optionally, the number of repetitions
	 * (default 2)
	 * @throws IOException if the file cannot be written
	 */
	public static void main(String[] arguments) throws IOException {
		Path output = Path.of(arguments[0]);
		int repeats = (arguments.length > 1) ? Integer.parseInt(arguments[1]) : DEFAULT_REPEATS;
		List<Slope> slopes = new ArrayList<>(ConfigurationSlopes.measure(repeats));
		slopes.addAll(LimitSlopes.measure(repeats));
		slopes.addAll(FleetSlopes.measure(repeats));
		slopes.forEach((slope) -> System.out.printf("%-40s %.4g + %.4g (+-%.2g) %s per %s, R2 %.3f%n", slope.name(),
				slope.base(), slope.perUnit(), slope.perUnitError(), slope.unit(), slope.quantity(), slope.rSquare()));
		Files.writeString(output,
				new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(slopes) + "\n");
	}

}
