package io.marigoldsail.cli.load;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import java.util.Map;

/**
 * The parameters of a load run.
 *
 * <p>Immutable. Rejects nulls.
 *
 * @param urls the URLs, used round robin
 * @param ratePerSecond the mean number of requests sent per second
 * @param durationMillis the duration, in milliseconds
 * @param evenlySpaced whether requests are sent at constant intervals; otherwise as a Poisson
 *     process
 * @param callers the callers and their weights
 * @param nonIdempotentShare the fraction of POST requests, 0 to 1
 * @param deadlineMillis the deadline of each request, in milliseconds
 * @param bodyBytes the length of a POST's body
 * @param keys the number of distinct keys; 0 for requests without a key
 * @param keySkew the Zipf exponent of the key distribution; 0 for uniform
 * @param seed the seed of random choices; the same seed gives the same requests
 */
record LoadPlan(
    List<String> urls,
    double ratePerSecond,
    long durationMillis,
    boolean evenlySpaced,
    Map<String, Double> callers,
    double nonIdempotentShare,
    long deadlineMillis,
    int bodyBytes,
    int keys,
    double keySkew,
    long seed) {
  static final long MAX_REQUESTS = 50_000_000;
  static final long MAX_DURATION_MILLIS = 3_600_000;
  static final int MAX_BODY_BYTES = 64 << 20;
  static final int MAX_KEYS = 1_000_000;

  LoadPlan {
    urls = List.copyOf(urls);
    callers = Map.copyOf(callers);
    checkArgument(!urls.isEmpty(), "no URL given");
    checkArgument(ratePerSecond > 0, "--rate: must be above 0, is %s", ratePerSecond);
    checkArgument(
        durationMillis > 0 && durationMillis <= MAX_DURATION_MILLIS,
        "--duration: must be 1 to %s milliseconds, is %s",
        MAX_DURATION_MILLIS,
        durationMillis);
    checkArgument(
        ratePerSecond * durationMillis / 1000 <= MAX_REQUESTS,
        "--rate: makes more than %s requests in --duration",
        MAX_REQUESTS);
    checkArgument(
        callers.values().stream().allMatch(weight -> weight > 0),
        "--callers: weights must be above 0, are %s",
        callers);
    checkArgument(
        nonIdempotentShare >= 0 && nonIdempotentShare <= 1,
        "--non-idempotent: must be 0 to 1, is %s",
        nonIdempotentShare);
    checkArgument(deadlineMillis > 0, "--deadline: must be above 0, is %s", deadlineMillis);
    checkArgument(
        bodyBytes >= 0 && bodyBytes <= MAX_BODY_BYTES,
        "--body: must be 0 to %s bytes, is %s",
        MAX_BODY_BYTES,
        bodyBytes);
    checkArgument(keys >= 0 && keys <= MAX_KEYS, "--keys: must be 0 to %s, is %s", MAX_KEYS, keys);
    checkArgument(keySkew >= 0, "--key-skew: must not be negative, is %s", keySkew);
  }
}
