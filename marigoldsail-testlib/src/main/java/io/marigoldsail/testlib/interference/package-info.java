/**
 * A model of best-effort tasks co-located with latency-critical services, to compare policies on
 * paired days.
 *
 * <p>One owner with current reports decides with the production classes on virtual time; VMs, tail
 * latencies and their measurements are modelled. Not modelled are the network, races between owners
 * and moves of running tasks. The main class is {@link
 * io.marigoldsail.testlib.interference.InterferenceBench}.
 */
package io.marigoldsail.testlib.interference;
