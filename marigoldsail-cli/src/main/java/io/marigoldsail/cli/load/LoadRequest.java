package io.marigoldsail.cli.load;

/**
 * A planned request.
 *
 * @param sequence its sequence number, from 0
 * @param atNanos the planned send time, in nanoseconds since the start of the run
 * @param url the URL
 * @param caller the name of the caller
 * @param idempotent whether it is a GET; otherwise a POST
 * @param key the routing key; empty for none
 */
record LoadRequest(
    long sequence, long atNanos, String url, String caller, boolean idempotent, String key) {}
