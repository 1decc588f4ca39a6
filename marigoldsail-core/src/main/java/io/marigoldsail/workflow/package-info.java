/**
 * Workflows: jobs of steps that depend on one another, from their hand-in to their end.
 *
 * <p>Decisions and state only, without network, threads, clock or log; the time is an argument.
 * {@link io.marigoldsail.workflow.Workflow} is the state machine that the owner of a workflow runs,
 * {@link io.marigoldsail.workflow.VmChooser} and {@link io.marigoldsail.workflow.WaitingOrder}
 * decide what starts next and where, {@link io.marigoldsail.workflow.ResourceLedger} and {@link
 * io.marigoldsail.workflow.LeaseLedger} are the side process's last word on whether a run may start
 * and how long it may live.
 */
package io.marigoldsail.workflow;
