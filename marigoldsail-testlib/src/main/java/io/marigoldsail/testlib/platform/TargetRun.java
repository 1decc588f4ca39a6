package io.marigoldsail.testlib.platform;

/**
 * One run of a request in a stand-in target, from the target's own record.
 *
 * @param target the target's name
 * @param requestId the id that the side process gave, or empty
 * @param idempotencyKey the caller's idempotency key, or empty
 * @param method the HTTP method
 * @param path the path with the query
 * @param startMillis when a slot took it, in milliseconds since the Unix epoch
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
