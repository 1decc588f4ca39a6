/**
 * Requests on their way from a caller through an entry and a side process to a target and back.
 *
 * <p>In an entry {@link io.marigoldsail.daemon.dispatch.CallerServer} speaks HTTP with callers and
 * {@link io.marigoldsail.daemon.dispatch.EntryDispatcher} carries out what a {@link
 * io.marigoldsail.dispatch.RequestPolicy} decides. In a side process {@link
 * io.marigoldsail.daemon.dispatch.SideDispatcher} runs requests on its {@link
 * io.marigoldsail.daemon.dispatch.TargetCommand}.
 */
package io.marigoldsail.daemon.dispatch;
