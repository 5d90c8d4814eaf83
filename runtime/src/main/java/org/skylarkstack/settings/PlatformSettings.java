package org.skylarkstack.settings;

/**
 * Where the platform's services are.
 *
 * @param tableUrl the endpoint of the table service (DynamoDB API)
 * @param objectUrl the endpoint of the object store (S3 API)
 * @param vmListUrl the URL of the list of VMs
 * @param region the region name for signing
 * @param accessKeyId the access key id for signing
 * @param secretAccessKey the secret key for signing
 * @param tableName the table
 * @param bucketName the bucket
 * @param timeoutMillis the bound for one operation in milliseconds
 */
public record PlatformSettings(String tableUrl, String objectUrl, String vmListUrl, String region, String accessKeyId,
		String secretAccessKey, String tableName, String bucketName, int timeoutMillis) {

	@Override
	public String toString() {
		return "PlatformSettings[tableUrl=" + this.tableUrl + ", objectUrl=" + this.objectUrl + "]";
	}

}
