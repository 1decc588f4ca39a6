/**
 * Runs workflows: entries schedule them, side processes execute their tasks on VMs.
 *
 * <p>An entry accepts workflows by writing them to the store, owns some of the store's partitions,
 * and schedules only the workflows of these; a decision is durable before it takes effect. A side
 * process executes the owners' orders on its worker, accounts for capacity and renews leases. All
 * of it runs on one loop thread per process; the platform is accessed through {@link
 * io.marigoldsail.daemon.workflow.WorkflowStore} and {@link
 * io.marigoldsail.daemon.workflow.WorkerGateway}.
 */
package io.marigoldsail.daemon.workflow;
