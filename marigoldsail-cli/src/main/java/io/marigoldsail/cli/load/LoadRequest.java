package io.marigoldsail.cli.load;

/**
 * One request of a plan.
 *
 * @param sequence its number, from 0
 * @param atNanos when it is to leave, in nanoseconds from the start of the run
 * @param url where it goes
 * @param caller whose it is
 * @param idempotent whether it is a GET; otherwise a POST
 * @param key what it is about; empty for nothing
 */
record LoadRequest(
    long sequence, long atNanos, String url, String caller, boolean idempotent, String key) {}
