package io.marigoldsail.daemon.link;

import io.marigoldsail.membership.Announcement;
import io.marigoldsail.membership.MemberTable;

/** Receives membership changes in an entry. Called on the loop's thread; must not block. */
public interface MemberListener {
  /** Called for each announcement that the member table accepted. */
  void announced(Announcement announcement, MemberTable.Change change);

  /** Called when a VM was removed because its announcements stopped. */
  void lost(Announcement last);
}
