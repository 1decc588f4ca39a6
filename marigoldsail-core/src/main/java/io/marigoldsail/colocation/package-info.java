/**
 * Decides which best-effort tasks may share a VM with service tasks, and at which speed.
 *
 * <p>It learns how much work of one image costs the services of another, and predicts from that the
 * headroom of each service. Decisions and state only, without network, threads, clock or log; the
 * time is an argument.
 */
package io.marigoldsail.colocation;
