package org.skylarkstack.configuration;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jspecify.annotations.Nullable;

/**
 * Encodes a complete configuration as gzip-compressed JSON and decodes it. The gzip
 * checksum detects damaged and truncated snapshots.
 */
final class SnapshotCodec {

	private static final int VERSION = 1;

	private final ObjectMapper mapper = new ObjectMapper().configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES,
			false);

	byte[] write(Configuration configuration) {
		List<Entry> entries = configuration.objects()
			.entrySet()
			.stream()
			.map((state) -> new Entry(state.getKey(), state.getValue().ticketNumber(), state.getValue().object()))
			.toList();
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (OutputStream compressed = new GZIPOutputStream(bytes)) {
			this.mapper.writeValue(compressed, new Body(VERSION, configuration.appliedNumber(),
					List.copyOf(configuration.aheadNumbers()), entries));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Reads a snapshot.
	 * @param bytes the compressed snapshot
	 * @return the configuration
	 * @throws IOException if the snapshot is damaged, incomplete or of an unknown version
	 */
	Configuration read(byte[] bytes) throws IOException {
		try (InputStream compressed = new GZIPInputStream(new ByteArrayInputStream(bytes))) {
			Body body = this.mapper.readValue(compressed, Body.class);
			if (body == null || body.version() != VERSION) {
				throw new IOException("the snapshot has no version that is known");
			}
			Map<ObjectKey, VersionedObject> objects = new HashMap<>();
			body.entries()
				.forEach(
						(entry) -> objects.put(entry.key(), new VersionedObject(entry.ticketNumber(), entry.object())));
			return Configuration.of(body.appliedNumber(), body.aheadNumbers(), objects);
		}
		catch (RuntimeException ex) {
			// Missing fields are null, which the types of the configuration do not allow.
			throw new IOException("the snapshot is incomplete", ex);
		}
	}

	private record Body(int version, long appliedNumber, List<Long> aheadNumbers, List<Entry> entries) {

	}

	private record Entry(ObjectKey key, long ticketNumber, @Nullable ConfigurationObject object) {

	}

}
