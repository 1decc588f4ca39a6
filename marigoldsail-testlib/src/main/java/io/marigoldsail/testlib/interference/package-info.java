/**
 * A model of heavy tasks beside latency-critical services, to compare policies on paired days.
 *
 * <p>One owner with fresh reports decides by the product's own classes on virtual time; VMs, tails
 * and readings are modelled. No network, no races between owners, no moves of tasks that run. Start
 * at {@link io.marigoldsail.testlib.interference.InterferenceBench}.
 */
package io.marigoldsail.testlib.interference;
