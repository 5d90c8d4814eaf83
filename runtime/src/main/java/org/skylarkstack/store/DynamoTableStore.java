package org.skylarkstack.store;

import java.net.ConnectException;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.skylarkstack.settings.PlatformSettings;
import software.amazon.awssdk.auth.credentials.AwsBasicCredentials;
import software.amazon.awssdk.auth.credentials.StaticCredentialsProvider;
import software.amazon.awssdk.awscore.exception.AwsServiceException;
import software.amazon.awssdk.core.client.config.ClientOverrideConfiguration;
import software.amazon.awssdk.core.exception.SdkException;
import software.amazon.awssdk.http.urlconnection.UrlConnectionHttpClient;
import software.amazon.awssdk.regions.Region;
import software.amazon.awssdk.retries.DefaultRetryStrategy;
import software.amazon.awssdk.services.dynamodb.DynamoDbClient;
import software.amazon.awssdk.services.dynamodb.model.AttributeValue;
import software.amazon.awssdk.services.dynamodb.model.Delete;
import software.amazon.awssdk.services.dynamodb.model.Put;
import software.amazon.awssdk.services.dynamodb.model.TransactWriteItem;
import software.amazon.awssdk.services.dynamodb.model.TransactionCanceledException;

/**
 * Table store that uses the DynamoDB API. The retries of the DynamoDB client are off,
 * because a retry of a write whose first response was lost would report a failed
 * condition.
 */
public final class DynamoTableStore implements TableStore {

	private static final String PARTITION = "pk";

	private static final String SORT = "sk";

	private static final String CONDITION_FAILED = "ConditionalCheckFailed";

	private final DynamoDbClient client;

	private final String table;

	/**
	 * Creates a store.
	 * @param settings the endpoint, credentials, table and timeout
	 */
	public DynamoTableStore(PlatformSettings settings) {
		Duration timeout = Duration.ofMillis(settings.timeoutMillis());
		this.table = settings.tableName();
		this.client = DynamoDbClient.builder()
			.endpointOverride(URI.create(settings.tableUrl()))
			.region(Region.of(settings.region()))
			.credentialsProvider(StaticCredentialsProvider
				.create(AwsBasicCredentials.create(settings.accessKeyId(), settings.secretAccessKey())))
			.httpClientBuilder(UrlConnectionHttpClient.builder().connectionTimeout(timeout).socketTimeout(timeout))
			.overrideConfiguration(ClientOverrideConfiguration.builder()
				.apiCallTimeout(timeout)
				.retryStrategy(DefaultRetryStrategy.doNotRetry())
				.build())
			.build();
	}

	@Override
	public Optional<Row> get(String partition, String sort) {
		Map<String, AttributeValue> item = call("get",
				() -> this.client
					.getItem(
							(request) -> request.tableName(this.table).key(keyOf(partition, sort)).consistentRead(true))
					.item());
		return item.isEmpty() ? Optional.empty() : Optional.of(toRow(item));
	}

	@Override
	public List<Row> query(String partition, String afterSort, int limit) {
		return call("query",
				() -> this.client
					.query((request) -> request.tableName(this.table)
						.keyConditionExpression("pk = :pk AND sk > :sk")
						.expressionAttributeValues(Map.of(":pk", text(partition), ":sk", text(afterSort)))
						.limit(limit)
						.consistentRead(true))
					.items()
					.stream()
					.map(DynamoTableStore::toRow)
					.toList());
	}

	@Override
	public boolean write(List<RowWrite> writes) {
		List<TransactWriteItem> items = writes.stream().map(this::toItem).toList();
		try {
			this.client.transactWriteItems((request) -> request.transactItems(items));
			return true;
		}
		catch (TransactionCanceledException ex) {
			if (ex.cancellationReasons().stream().anyMatch((reason) -> CONDITION_FAILED.equals(reason.code()))) {
				return false;
			}
			// Cancelled for another reason, such as a concurrent transaction or
			// throttling; no write of the transaction was applied.
			throw new StoreException(WriteEffect.NOT_APPLIED, "write cancelled", ex);
		}
		catch (SdkException ex) {
			throw new StoreException(effect(ex), "write failed", ex);
		}
	}

	/**
	 * Returns whether a failed write may have taken effect. A response with status 4xx
	 * means that the service rejected the write, and a refused connection means that it
	 * was never sent. After all other failures the effect is unknown.
	 * @param failure the exception of the client
	 * @return the effect of the write
	 */
	private static WriteEffect effect(SdkException failure) {
		if (failure instanceof AwsServiceException serviceFailure) {
			return (serviceFailure.statusCode() / 100 == 4) ? WriteEffect.NOT_APPLIED : WriteEffect.UNKNOWN;
		}
		for (Throwable cause = failure.getCause(); cause != null; cause = cause.getCause()) {
			if (cause instanceof ConnectException) {
				return WriteEffect.NOT_APPLIED;
			}
		}
		return WriteEffect.UNKNOWN;
	}

	private <T> T call(String operation, Supplier<T> action) {
		try {
			return action.get();
		}
		catch (SdkException ex) {
			throw new StoreException(WriteEffect.NOT_APPLIED, operation + " failed", ex);
		}
	}

	private TransactWriteItem toItem(RowWrite write) {
		RowCondition condition = write.condition();
		String expression = expression(condition);
		Map<String, String> names = new HashMap<>();
		Map<String, AttributeValue> values = new HashMap<>();
		if (condition != null && condition.attribute() != null && condition.expected() != null) {
			names.put("#c", condition.attribute());
			values.put(":c", text(condition.expected()));
		}
		if (write.delete()) {
			Delete delete = Delete.builder()
				.tableName(this.table)
				.key(keyOf(write.row().partition(), write.row().sort()))
				.conditionExpression(expression)
				.expressionAttributeNames(names.isEmpty() ? null : names)
				.expressionAttributeValues(values.isEmpty() ? null : values)
				.build();
			return TransactWriteItem.builder().delete(delete).build();
		}
		Put put = Put.builder()
			.tableName(this.table)
			.item(toItem(write.row()))
			.conditionExpression(expression)
			.expressionAttributeNames(names.isEmpty() ? null : names)
			.expressionAttributeValues(values.isEmpty() ? null : values)
			.build();
		return TransactWriteItem.builder().put(put).build();
	}

	private static @Nullable String expression(@Nullable RowCondition condition) {
		if (condition == null) {
			return null;
		}
		return (condition.attribute() == null) ? "attribute_not_exists(pk)" : "#c = :c";
	}

	private static Map<String, AttributeValue> keyOf(String partition, String sort) {
		return Map.of(PARTITION, text(partition), SORT, text(sort));
	}

	private static Map<String, AttributeValue> toItem(Row row) {
		Map<String, AttributeValue> item = new HashMap<>(keyOf(row.partition(), row.sort()));
		row.attributes().forEach((name, value) -> item.put(name, text(value)));
		return item;
	}

	private static Row toRow(Map<String, AttributeValue> item) {
		Map<String, String> attributes = new HashMap<>();
		for (Map.Entry<String, AttributeValue> entry : new ArrayList<>(item.entrySet())) {
			if (!PARTITION.equals(entry.getKey()) && !SORT.equals(entry.getKey())) {
				attributes.put(entry.getKey(), entry.getValue().s());
			}
		}
		return new Row(stringOf(item, PARTITION), stringOf(item, SORT), attributes);
	}

	private static String stringOf(Map<String, AttributeValue> item, String name) {
		AttributeValue value = item.get(name);
		if (value == null) {
			throw new IllegalStateException("attribute %s is missing".formatted(name));
		}
		return value.s();
	}

	private static AttributeValue text(String value) {
		return AttributeValue.fromS(value);
	}

}
