/**
 * Fault injection for real processes and their connections.
 *
 * <p>{@link io.marigoldsail.testlib.fault.TcpFaultProxy} drops, delays and closes connections
 * between two processes; {@link io.marigoldsail.testlib.fault.ProcessFleet} starts, pauses and
 * kills processes.
 */
package io.marigoldsail.testlib.fault;
