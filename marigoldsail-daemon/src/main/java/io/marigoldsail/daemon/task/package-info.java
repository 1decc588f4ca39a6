/**
 * Distributed execution of tasks: entries claim and start them, side processes run and report them.
 *
 * <p>An entry uses {@link io.marigoldsail.daemon.task.EntryTaskScheduler}, a side process {@link
 * io.marigoldsail.daemon.task.SideTaskRunner}. They communicate through a {@link
 * io.marigoldsail.daemon.task.TaskChannel}.
 */
package io.marigoldsail.daemon.task;
