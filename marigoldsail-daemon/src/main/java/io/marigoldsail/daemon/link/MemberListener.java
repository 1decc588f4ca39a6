package io.marigoldsail.daemon.link;

import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.MemberTable;

/** Told in an entry, on the loop's thread, how its members change; must not block. */
public interface MemberListener {
  /** An announcement was read and taken. */
  void announced(Announcement announcement, MemberTable.Change change);

  /** A VM was dropped for its silence. */
  void lost(Announcement last);
}
