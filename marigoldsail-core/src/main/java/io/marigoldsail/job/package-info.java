/**
 * Jobs and their tasks: the checked job file, sizes, and the state machine folded from the log.
 *
 * <p>Reach for {@link io.marigoldsail.job.Sizes} wherever room on a VM is counted.
 */
package io.marigoldsail.job;
