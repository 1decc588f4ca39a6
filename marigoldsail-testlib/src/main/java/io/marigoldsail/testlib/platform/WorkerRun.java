package io.marigoldsail.testlib.platform;

import io.marigoldsail.lease.WorkerTask;

/**
 * One attempt of a task in a stand-in worker, from the worker's own record.
 *
 * @param worker the worker's name
 * @param incarnation the worker's boot
 * @param task the task's name
 * @param attempt the attempt
 * @param token the fencing token it was started with
 * @param checkpoint the checkpoint it resumed from, or empty
 * @param startMillis when it started, in milliseconds since the Unix epoch
 * @param endMillis when it ended, or 0 while it runs
 * @param state what became of it
 */
public record WorkerRun(
    String worker,
    long incarnation,
    String task,
    int attempt,
    long token,
    String checkpoint,
    long startMillis,
    long endMillis,
    WorkerTask.State state) {}
