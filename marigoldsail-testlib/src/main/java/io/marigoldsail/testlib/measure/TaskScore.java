package io.marigoldsail.testlib.measure;

/**
 * What a measurement of tasks found.
 *
 * @param serviceP99Millis the services' 99th percentile, in milliseconds
 * @param usefulWorkSeconds work done and not lost, in seconds of a task running alone
 * @param evictions how many tasks were stopped for others
 * @param urgentP99Seconds from the acceptance of an urgent job to the start of its task
 * @param lostWorkSeconds work that has to be done again, in seconds
 * @param failedTasks tasks that ended as failed
 * @param recordsPerSecond records folded, each second on average
 */
record TaskScore(
    double serviceP99Millis,
    double usefulWorkSeconds,
    long evictions,
    double urgentP99Seconds,
    double lostWorkSeconds,
    long failedTasks,
    double recordsPerSecond) {}
