/**
 * Runs workflows: the owner's part in entries, the VM's part in side processes.
 *
 * <p>An entry accepts workflows by writing them to the store, owns some of the store's partitions,
 * and decides for the workflows of these alone; what it decides is durable before it acts. A side
 * process carries out the owners' orders on its worker, books room and renews leases. Everything
 * runs on one loop thread for each process; the platform is reached through {@link
 * io.marigoldsail.daemon.workflow.WorkflowStore} and {@link
 * io.marigoldsail.daemon.workflow.WorkerGateway}.
 */
package io.marigoldsail.daemon.workflow;
