/**
 * Tasks over processes: entries that claim and start, side processes that run and report.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.task.EntryTaskScheduler} in an entry and {@link
 * io.marigoldsail.daemon.task.SideTaskRunner} in a side process; both meet the other side through a
 * {@link io.marigoldsail.daemon.task.TaskChannel}.
 */
package io.marigoldsail.daemon.task;
