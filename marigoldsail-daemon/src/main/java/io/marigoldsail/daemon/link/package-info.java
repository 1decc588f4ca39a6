/**
 * Connections between marigoldsail processes: length-prefixed protobuf frames over TCP.
 *
 * <p>{@link io.marigoldsail.daemon.link.LinkLoop} is the single thread that runs everything in this
 * package. An entry uses {@link io.marigoldsail.daemon.link.EntryLinks} to receive announcements
 * and exchange task messages; a side process uses {@link io.marigoldsail.daemon.link.SideLinks} to
 * announce itself. Requests use separate connections, accepted by {@link
 * io.marigoldsail.daemon.link.LinkServer} in the side process and opened with {@link
 * io.marigoldsail.daemon.link.LinkLoop#dial} in the entry.
 */
package io.marigoldsail.daemon.link;
