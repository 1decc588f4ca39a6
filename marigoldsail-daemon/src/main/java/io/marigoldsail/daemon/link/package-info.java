/**
 * Connections between our own processes: length-prefixed protobuf frames over TCP.
 *
 * <p>Reach for {@link io.marigoldsail.daemon.link.LinkLoop} first: it is the one thread on which
 * everything here runs. An entry uses {@link io.marigoldsail.daemon.link.EntryLinks} to hear
 * announcements and to exchange messages about tasks, a side process {@link
 * io.marigoldsail.daemon.link.SideLinks} to announce itself. Requests travel on connections of
 * their own, which {@link io.marigoldsail.daemon.link.LinkServer} accepts in the side process and
 * {@link io.marigoldsail.daemon.link.LinkLoop#dial} opens in the entry.
 */
package io.marigoldsail.daemon.link;
