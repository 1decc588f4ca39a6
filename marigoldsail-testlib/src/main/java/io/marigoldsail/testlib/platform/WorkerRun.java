package io.marigoldsail.testlib.platform;

import io.marigoldsail.lease.WorkerTask;

/**
 * One attempt of a task in a stand-in worker, as recorded by the worker.
 *
 * @param worker the worker's name
 * @param incarnation the incarnation of the worker
 * @param task the task's name
 * @param attempt the attempt number
 * @param token the fencing token it was started with
 * @param checkpoint the checkpoint it resumed from, or empty
 * @param startMillis when it started, in milliseconds since the Unix epoch
 * @param endMillis when it ended, or 0 while it runs
 * @param state the state at the time of the record
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
