package org.skylarkstack.settings;

/**
 * Endpoints and credentials of the platform's services.
 *
 * @param tableUrl the endpoint of the table service (DynamoDB API)
 * @param objectUrl the endpoint of the object store (S3 API)
 * @param vmListUrl the URL of the list of VMs
 * @param region the region name for signing requests
 * @param accessKeyId the access key id for signing requests
 * @param secretAccessKey the secret access key for signing requests
 * @param tableName the name of the table
 * @param bucketName the name of the bucket
 * @param timeoutMillis the timeout of one operation in milliseconds; an operation of the
 * object store may take a multiple of it
 */
public record PlatformSettings(String tableUrl, String objectUrl, String vmListUrl, String region, String accessKeyId,
		String secretAccessKey, String tableName, String bucketName, int timeoutMillis) {

	@Override
	public String toString() {
		return "PlatformSettings[tableUrl=" + this.tableUrl + ", objectUrl=" + this.objectUrl + "]";
	}

}
