package io.marigoldsail.colocation;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableMap;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * The best-effort images of which one VM has refused tasks, as an owner of such tasks knows it.
 *
 * <p>Answers a burst of heavy best-effort tasks on a fleet whose services leave little room: the VM
 * learns what an image costs its services, and what other owners have started, before the owner
 * does. An owner that goes by the reported room alone sends the tasks of a step to the same VM
 * again and again. So the VM is not offered to an image that it has refused until it reports more
 * room, or until {@link #RETRY_NANOS} have passed, since an owner may have learned too much of an
 * effect as well as too little.
 *
 * <p>Confined to one thread. Rejects nulls. Times are monotonic nanoseconds.
 */
public final class RefusedImages {
  /** Time after which the VM is offered again although it has reported no more room. */
  static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Images of which those that are no longer refused are forgotten. */
  private static final int MAX_IMAGES = 256;

  private final Map<String, Long> retryAt = new HashMap<>();
  private ImmutableMap<String, Double> rooms = ImmutableMap.of();
  private long bestEffortMilli;

  /** Creates the state of a VM that has refused nothing. */
  public RefusedImages() {}

  /**
   * Records a report of the VM; room that it has more than before ends all refusals.
   *
   * @param newRooms the headroom to spare by service image
   * @param newBestEffortMilli processors declared by the best-effort tasks of the VM, in
   *     thousandths
   */
  public void recordReport(ImmutableMap<String, Double> newRooms, long newBestEffortMilli) {
    if (newBestEffortMilli < bestEffortMilli || hasMoreRoom(requireNonNull(newRooms, "newRooms"))) {
      retryAt.clear();
    }
    rooms = newRooms;
    bestEffortMilli = newBestEffortMilli;
  }

  private boolean hasMoreRoom(ImmutableMap<String, Double> newRooms) {
    for (Map.Entry<String, Double> before : rooms.entrySet()) {
      Double now = newRooms.get(before.getKey());
      if (now == null || now > before.getValue()) {
        return true;
      }
    }
    return false;
  }

  /**
   * Records that the VM has refused a task of the image.
   *
   * @return whether the image was not refused before
   */
  public boolean recordRefusal(String image, long now) {
    checkArgument(!image.isEmpty(), "image is empty");
    boolean refusedBefore = isRefused(image, now);
    if (retryAt.size() >= MAX_IMAGES) {
      retryAt.values().removeIf(until -> now - until >= 0);
    }
    retryAt.put(image, now + RETRY_NANOS);
    return !refusedBefore;
  }

  /** Returns whether the VM is not to be offered to tasks of the image now. */
  public boolean isRefused(String image, long now) {
    Long until = retryAt.get(image);
    return until != null && now - until < 0;
  }
}
