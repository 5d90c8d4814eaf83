package org.skylarkstack.store;

import java.net.URI;
import java.time.Duration;
import java.util.Optional;

import org.skylarkstack.settings.PlatformSettings;
import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.core.checksums.RequestChecksumCalculation;
import software.amazon.awssdk.core.checksums.ResponseChecksumValidation;
import software.amazon.awssdk.core.client.config.ClientOverrideConfiguration;
import software.amazon.awssdk.core.exception.SdkException;
import software.amazon.awssdk.core.sync.RequestBody;
import software.amazon.awssdk.http.urlconnection.UrlConnectionHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.retries.DefaultRetryStrategy;
import software.amazon.awssdk.services.s3.S3Client;
import software.amazon.awssdk.services.s3.model.NoSuchKeyException;

/**
 * Object store that uses the S3 API with path-style addresses. The retries of the S3
 * client are off.
 */
public final class S3ObjectStore implements ObjectStore {

	/**
	 * Timeout of an object operation as a multiple of the timeout of a table operation. A
	 * snapshot of 40,000 teams has several megabytes, a table item at most 400 KB.
	 */
	private static final int TIMEOUT_FACTOR = 10;

	private final S3Client client;

	private final String bucket;

	/**
	 * Creates a store.
	 * @param settings the endpoint, credentials, bucket and timeout
	 */
	public S3ObjectStore(PlatformSettings settings) {
		Duration timeout = Duration.ofMillis(settings.timeoutMillis());
		this.bucket = settings.bucketName();
		this.client = S3Client.builder()
			.endpointOverride(URI.create(settings.objectUrl()))
			.region(Region.of(settings.region()))
			.credentialsProvider(StaticCredentialsProvider
				.create(AwsBasicCredentials.create(settings.accessKeyId(), settings.secretAccessKey())))
			.forcePathStyle(true)
			.requestChecksumCalculation(RequestChecksumCalculation.WHEN_REQUIRED)
			.responseChecksumValidation(ResponseChecksumValidation.WHEN_REQUIRED)
			.serviceConfiguration((service) -> service.chunkedEncodingEnabled(false))
			.httpClientBuilder(UrlConnectionHttpClient.builder().connectionTimeout(timeout).socketTimeout(timeout))
			.overrideConfiguration(ClientOverrideConfiguration.builder()
				.apiCallTimeout(timeout.multipliedBy(TIMEOUT_FACTOR))
				.retryStrategy(DefaultRetryStrategy.doNotRetry())
				.build())
			.build();
	}

	@Override
	public Optional<byte[]> get(String key) {
		try {
			return Optional.of(this.client.getObjectAsBytes((request) -> request.bucket(this.bucket).key(key))
				.asByteArrayUnsafe());
		}
		catch (NoSuchKeyException ex) {
			return Optional.empty();
		}
		catch (SdkException ex) {
			throw new StoreException(WriteEffect.NOT_APPLIED, "object read failed", ex);
		}
	}

	@Override
	public void put(String key, byte[] bytes) {
		try {
			this.client.putObject((request) -> request.bucket(this.bucket).key(key), RequestBody.fromBytes(bytes));
		}
		catch (SdkException ex) {
			throw new StoreException(WriteEffect.UNKNOWN, "object write failed", ex);
		}
	}

}
