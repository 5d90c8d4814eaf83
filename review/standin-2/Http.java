import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads heads and bodies of HTTP/1.1 messages from a socket. */
final class Http {

	/** Head of a message. */
	static final class Head {

		String first = "";

		final Map<String, String> fields = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);

		String field(String name) {
			return this.fields.getOrDefault(name, "");
		}

		int status() {
			return Integer.parseInt(this.first.split(" ")[1]);
		}

		String method() {
			return this.first.split(" ")[0];
		}

		String target() {
			return this.first.split(" ")[1];
		}

	}

	private Http() {
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		int next = in.read();
		if (next < 0) {
			return null;
		}
		while (next >= 0 && next != '\n') {
			if (next != '\r') {
				out.write(next);
			}
			next = in.read();
		}
		if (next < 0) {
			throw new EOFException("the channel ended inside a head");
		}
		return out.toString(StandardCharsets.ISO_8859_1);
	}

	/** Reads a head; {@code null} at the end of the channel. */
	static Head head(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Head head = new Head();
		head.first = first;
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			head.fields.put(line.substring(0, colon).trim(), line.substring(colon + 1).trim());
		}
		return head;
	}

	/** Reads a whole body by its length or chunks; throws if the channel ends before. */
	static byte[] body(InputStream in, Head head) throws IOException {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		if (head.field("Transfer-Encoding").contains("chunked")) {
			while (true) {
				String size = line(in);
				if (size == null) {
					throw new EOFException("the channel ended between chunks");
				}
				int bytes = Integer.parseInt(size.split(";")[0].trim(), 16);
				if (bytes == 0) {
					line(in);
					return out.toByteArray();
				}
				out.write(exactly(in, bytes));
				line(in);
			}
		}
		String length = head.field("Content-Length");
		return length.isEmpty() ? new byte[0] : exactly(in, Integer.parseInt(length));
	}

	static byte[] exactly(InputStream in, int bytes) throws IOException {
		byte[] found = in.readNBytes(bytes);
		if (found.length < bytes) {
			throw new EOFException("the channel ended after " + found.length + " of " + bytes + " bytes");
		}
		return found;
	}

}
