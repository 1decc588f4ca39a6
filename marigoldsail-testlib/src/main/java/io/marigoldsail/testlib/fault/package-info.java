/**
 * Faults between and of real processes: connections that fall silent, processes that die or freeze.
 *
 * <p>Reach for {@link io.marigoldsail.testlib.fault.TcpFaultProxy} to stand between two processes
 * and for {@link io.marigoldsail.testlib.fault.ProcessFleet} to start, freeze and end them.
 */
package io.marigoldsail.testlib.fault;
