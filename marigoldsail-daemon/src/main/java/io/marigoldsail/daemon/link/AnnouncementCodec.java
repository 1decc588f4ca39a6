package io.marigoldsail.daemon.link;

import io.marigoldsail.dispatch.TargetLoad;
import io.marigoldsail.membership.Announcement;
import io.marigoldsail.protocol.Announce;
import io.marigoldsail.protocol.TargetReport;

/** Translates announcements and reports between frames and the types of decisions. */
public final class AnnouncementCodec {
  private AnnouncementCodec() {}

  /** Returns the announcement as a message. */
  public static Announce encode(Announcement announcement) {
    return Announce.newBuilder()
        .setVm(announcement.vm())
        .setProcessIncarnation(announcement.processIncarnation())
        .setZone(announcement.zone())
        .setRack(announcement.rack())
        .setAddress(announcement.address())
        .setOperatorsAddress(announcement.operatorsAddress())
        .setService(announcement.service())
        .setSlots(announcement.slots())
        .setLeaving(announcement.draining())
        .setReport(encode(announcement.load(), announcement.slots()))
        .setConfigurationRevision(announcement.configurationRevision())
        .build();
  }

  /** Returns the load as a message. */
  public static TargetReport encode(TargetLoad load, int slots) {
    return TargetReport.newBuilder()
        .setSlots(slots)
        .setInFlight(load.inFlight())
        .setWaiting(load.waiting())
        .setEntries(load.entries())
        .setLeaving(load.draining())
        .build();
  }

  /**
   * Returns the message as an announcement.
   *
   * @throws BrokenFrameException if a field is missing or out of range
   */
  public static Announcement decode(Announce message) throws BrokenFrameException {
    try {
      return new Announcement(
          message.getVm(),
          message.getProcessIncarnation(),
          message.getZone(),
          message.getRack(),
          message.getAddress(),
          message.getOperatorsAddress(),
          message.getService(),
          message.getSlots(),
          message.getLeaving(),
          decodeLoad(message.getReport()),
          message.getConfigurationRevision());
    } catch (IllegalArgumentException e) {
      throw new BrokenFrameException("announcement: " + e.getMessage());
    }
  }

  /**
   * Returns the message as a load.
   *
   * @throws BrokenFrameException if a count is out of range
   */
  public static TargetLoad decode(TargetReport message) throws BrokenFrameException {
    try {
      return decodeLoad(message);
    } catch (IllegalArgumentException e) {
      throw new BrokenFrameException("report: " + e.getMessage());
    }
  }

  private static TargetLoad decodeLoad(TargetReport message) {
    return new TargetLoad(
        message.getInFlight(), message.getWaiting(), message.getEntries(), message.getLeaving());
  }
}
