/**
 * The request path from callers through an entry and a side process to a target.
 *
 * <p>In an entry, {@link io.marigoldsail.daemon.dispatch.CallerServer} serves HTTP to callers and
 * {@link io.marigoldsail.daemon.dispatch.EntryDispatcher} executes the decisions of a {@link
 * io.marigoldsail.dispatch.RequestPolicy}. In a side process, {@link
 * io.marigoldsail.daemon.dispatch.SideDispatcher} runs requests on its {@link
 * io.marigoldsail.daemon.dispatch.Target}.
 */
package io.marigoldsail.daemon.dispatch;
