package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.FrameStream;
import io.marigoldsail.membership.EntryIdentity;
import io.marigoldsail.protocol.Cancel;
import io.marigoldsail.protocol.Frame;
import io.marigoldsail.protocol.GoAwayAck;
import io.marigoldsail.protocol.RequestId;
import io.marigoldsail.protocol.RequestStart;
import io.marigoldsail.protocol.Resolve;
import java.util.concurrent.TimeUnit;

/** Creates the frames that an entry sends on request connections. */
final class EntryFrames {
  private EntryFrames() {}

  static FrameStream request(
      EntryIdentity identity,
      long sequence,
      PendingRequest pending,
      long remainingNanos,
      long now) {
    CallerRequest request = pending.request();
    RequestStart.Builder start =
        RequestStart.newBuilder()
            .setId(id(identity, sequence))
            .setMethod(request.method())
            .setPath(request.path())
            .addAllHeaders(request.headers())
            .setRemainingMillis(Math.max(1, TimeUnit.NANOSECONDS.toMillis(remainingNanos)))
            .setIdempotent(request.idempotent())
            .setCaller(request.caller())
            .setIdempotencyKey(request.idempotencyKey())
            .setLabel(pending.label())
            .setSentAt(now);
    if (pending.isRoutedToOwner()) {
      start.setKeyClaim(pending.ownerClaim());
      start.setTargetDetectsRepeats(pending.targetDetectsRepeats());
    }
    return new RequestFrames(start, request.body());
  }

  static Frame cancel(EntryIdentity identity, long sequence) {
    return Frame.newBuilder().setCancel(Cancel.newBuilder().setId(id(identity, sequence))).build();
  }

  static Frame resolve(EntryIdentity identity, long sequence, long processIncarnation) {
    return Frame.newBuilder()
        .setResolve(
            Resolve.newBuilder()
                .setId(id(identity, sequence))
                .setProcessIncarnation(processIncarnation))
        .build();
  }

  static Frame goAwayAck() {
    return Frame.newBuilder().setGoAwayAck(GoAwayAck.getDefaultInstance()).build();
  }

  private static RequestId id(EntryIdentity identity, long sequence) {
    return RequestId.newBuilder()
        .setEntryIncarnation(identity.incarnation())
        .setSequence(sequence)
        .build();
  }
}
