package io.marigoldsail.testlib.measure;

/**
 * The results of a simulation of tasks.
 *
 * @param serviceP99Millis the 99th percentile latency of services, in milliseconds
 * @param usefulWorkSeconds work done and not lost, in seconds of a task without interference
 * @param evictions the number of evicted tasks
 * @param urgentP99Seconds the 99th percentile of the time from the acceptance of an urgent job to
 *     the start of a task, in seconds
 * @param lostWorkSeconds work that has to be repeated, in seconds
 * @param failedTasks the number of failed tasks
 * @param recordsPerSecond the mean number of applied records per second
 */
record TaskScore(
    double serviceP99Millis,
    double usefulWorkSeconds,
    long evictions,
    double urgentP99Seconds,
    double lostWorkSeconds,
    long failedTasks,
    double recordsPerSecond) {}
