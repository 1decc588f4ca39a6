/**
 * Jobs and their tasks: the job file parser, resource amounts, and the state machine folded from
 * the log.
 *
 * <p>Use {@link io.marigoldsail.job.Sizes} wherever capacity of a VM is counted.
 */
package io.marigoldsail.job;
