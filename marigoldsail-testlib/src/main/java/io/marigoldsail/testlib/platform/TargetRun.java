package io.marigoldsail.testlib.platform;

/**
 * One run of a request in a stand-in target, as recorded by the target.
 *
 * @param target the target's name
 * @param requestId the id assigned by the side process, or empty
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param method the HTTP method
 * @param path the path with the query
 * @param startMillis when it started in a slot, in milliseconds since the Unix epoch
 * @param endMillis when it ended, or 0 while it runs
 */
public record TargetRun(
    String target,
    String requestId,
    String idempotencyKey,
    String method,
    String path,
    long startMillis,
    long endMillis) {}
