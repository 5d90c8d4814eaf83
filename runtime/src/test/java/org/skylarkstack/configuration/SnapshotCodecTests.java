package org.skylarkstack.configuration;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.zip.GZIPOutputStream;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.skylarkstack.kernel.Exceptions;

/**
 * Tests of {@link SnapshotCodec} with snapshots that are intact but incomplete.
 */
class SnapshotCodecTests {

	/**
	 * Guards against a snapshot that ends the start of every daemon instead of being
	 * ignored like a damaged one.
	 */
	@ParameterizedTest
	@ValueSource(strings = { "", "null", "[]", "{}", "{\"version\":1}", "{\"version\":1,\"entries\":[]}",
			"{\"version\":1,\"aheadNumbers\":[null],\"entries\":[]}",
			"{\"version\":1,\"aheadNumbers\":[],\"entries\":[null]}",
			"{\"version\":1,\"aheadNumbers\":[],\"entries\":[{\"ticketNumber\":1,\"object\":{}}]}",
			"{\"version\":4294967297,\"aheadNumbers\":[],\"entries\":[]}" })
	void anIncompleteSnapshotIsUnreadable(String json) throws IOException {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (OutputStream compressed = new GZIPOutputStream(bytes)) {
			compressed.write(json.getBytes(StandardCharsets.UTF_8));
		}
		Exceptions.assertThrows(IOException.class, () -> new SnapshotCodec().read(bytes.toByteArray()));
	}

}
