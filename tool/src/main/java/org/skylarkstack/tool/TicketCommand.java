package org.skylarkstack.tool;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.skylarkstack.kernel.ErrorType;

/**
 * Subcommand that submits and shows change tickets through the operator API of a daemon.
 */
final class TicketCommand extends Command {

	private static final MediaType JSON = Objects.requireNonNull(MediaType.parse("application/json"));

	private static final Duration TIMEOUT = Duration.ofSeconds(30);

	/** Maximum submissions of one ticket; repeated ones have no further effect. */
	private static final int MAX_ATTEMPTS = 3;

	private final ObjectMapper mapper = new ObjectMapper();

	private final OkHttpClient client = new OkHttpClient.Builder().retryOnConnectionFailure(false)
		.callTimeout(TIMEOUT)
		.readTimeout(TIMEOUT)
		.build();

	TicketCommand() {
		super("ticket", "change or show the configuration: apply FILE, show N, history [AFTER]");
	}

	@Override
	Options options() {
		return new Options().addRequiredOption("u", "url", true, "base URL of a daemon's operator API")
			.addRequiredOption("k", "key-file", true, "file that contains the operator key");
	}

	@Override
	ExitCode execute(CommandLine line) {
		List<String> arguments = line.getArgList();
		String action = arguments.isEmpty() ? "" : arguments.get(0);
		String base = line.getOptionValue("url") + "/operator/v1/tickets";
		try {
			String key = Files.readString(Path.of(line.getOptionValue("key-file"))).trim();
			if ("apply".equals(action) && arguments.size() == 2) {
				return apply(base, key, Files.readAllBytes(Path.of(arguments.get(1))));
			}
			if ("show".equals(action) && arguments.size() == 2 && isNumber(arguments.get(1))) {
				return print(send(request(base + "/" + arguments.get(1), key).build()));
			}
			if ("history".equals(action) && arguments.size() == 1) {
				return print(send(request(base, key).build()));
			}
			if ("history".equals(action) && arguments.size() == 2 && isNumber(arguments.get(1))) {
				return print(send(request(base + "?after=" + arguments.get(1), key).build()));
			}
		}
		catch (IOException ex) {
			System.err.println("cannot reach the daemon or read a file: " + ex);
			return ExitCode.FAILED;
		}
		System.err.println("expected: apply FILE, show N or history [AFTER]");
		return ExitCode.USAGE;
	}

	private static boolean isNumber(String argument) {
		return argument.matches("[0-9]{1,18}");
	}

	private static Request.Builder request(String url, String key) {
		return new Request.Builder().url(url).header("Authorization", "Bearer " + key);
	}

	private ExitCode apply(String url, String key, byte[] ticket) throws IOException {
		Request request = request(url, key).post(RequestBody.create(ticket, JSON)).build();
		OperatorResponse response = send(request);
		for (int attempt = 1; attempt < MAX_ATTEMPTS && response.hasUnknownOutcome(this.mapper); attempt++) {
			response = send(request);
		}
		return print(response);
	}

	private OperatorResponse send(Request request) throws IOException {
		try (Response response = this.client.newCall(request).execute()) {
			return new OperatorResponse(response.isSuccessful(), response.body().string());
		}
	}

	private ExitCode print(OperatorResponse response) {
		System.out.println(response.pretty(this.mapper));
		return response.successful() ? ExitCode.OK : ExitCode.FAILED;
	}

	private record OperatorResponse(boolean successful, String body) {

		boolean hasUnknownOutcome(ObjectMapper mapper) {
			try {
				return mapper.readTree(this.body).path("error").path("code").asInt() == ErrorType.TICKET_UNKNOWN.code();
			}
			catch (JsonProcessingException ex) {
				return false;
			}
		}

		String pretty(ObjectMapper mapper) {
			try {
				return mapper.readTree(this.body).toPrettyString();
			}
			catch (JsonProcessingException ex) {
				return this.body;
			}
		}

	}

}
