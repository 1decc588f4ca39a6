package io.marigoldsail.workflow;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * How much of what may disturb fits beside tasks that serve.
 *
 * <p>Load pattern: in a burst of heavy workflows all VMs without services are full. Tasks of images
 * that disturb several times as much as they work ({@link ImageInterference}) then went beside
 * services, as many as had declared room; there {@link BestEffortThrottler} held them all near
 * nothing for as long as the burst lasted, and they took the place of harmless ones. What a service
 * bears of such images is about an eighth of its VM: few work, at a good part of their speed, and
 * the others wait for a VM without services.
 *
 * <p>Stateless.
 */
public final class InterferenceBudget {
  /** The part of a VM's processors that suspects may declare beside tasks that serve. */
  private static final int CAPACITY_DIVISOR = 8;

  private InterferenceBudget() {}

  /**
   * Returns whether one more suspect fits beside tasks that serve; the first always does.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   * @param declaredMilli what the suspects there declare, in thousandths of a processor
   * @param milli what the next one declares
   */
  public static boolean admits(long capacityMilli, long declaredMilli, long milli) {
    return declaredMilli == 0 || declaredMilli + milli <= capacityMilli / CAPACITY_DIVISOR;
  }

  /**
   * Returns the positions of the suspects that are too many beside tasks that serve.
   *
   * @param capacityMilli the processors of the VM, in thousandths
   * @param declaredMilli what each suspect declares, the one that came first in front
   */
  public static ImmutableList<Integer> excess(long capacityMilli, List<Long> declaredMilli) {
    ImmutableList.Builder<Integer> excess = ImmutableList.builder();
    long kept = 0;
    for (int i = 0; i < declaredMilli.size(); i++) {
      if (admits(capacityMilli, kept, declaredMilli.get(i))) {
        kept += declaredMilli.get(i);
      } else {
        excess.add(i);
      }
    }
    return excess.build();
  }
}
