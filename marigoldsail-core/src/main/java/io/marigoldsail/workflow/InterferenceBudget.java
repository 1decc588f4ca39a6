package io.marigoldsail.workflow;

import com.google.common.collect.ImmutableList;
import java.util.List;

/**
 * Capacity of a VM for interfering tasks that are co-located with service tasks.
 *
 * <p>Guards against bursts of heavy workflows in which all VMs without services are full. Tasks of
 * interfering images ({@link ImageInterference}), which disturb services by several times the
 * processors that they use, were then placed on VMs with services as long as their declared
 * processors fitted; there {@link BestEffortThrottler} throttled all of them to nearly zero for the
 * whole burst, and they displaced benign tasks. A service tolerates interfering tasks of about an
 * eighth of its VM. So a few run at a good part of their speed, and the others wait for a VM
 * without services.
 *
 * <p>Stateless.
 */
public final class InterferenceBudget {
  /** Divides a VM's processors to limit those declared by tasks that interfere with services. */
  private static final int CAPACITY_DIVISOR = 8;

  private InterferenceBudget() {}

  /**
   * Returns whether one more interfering task fits beside service tasks; the first always does.
   *
   * @param capacityMilli processors of the VM, in thousandths
   * @param declaredMilli processors declared by its interfering tasks, in thousandths
   * @param milli processors declared by the next one, in thousandths
   */
  public static boolean admits(long capacityMilli, long declaredMilli, long milli) {
    return declaredMilli == 0 || declaredMilli + milli <= capacityMilli / CAPACITY_DIVISOR;
  }

  /**
   * Returns the positions of the interfering tasks that exceed the capacity beside service tasks.
   *
   * @param capacityMilli processors of the VM, in thousandths
   * @param declaredMilli processors declared by each task in thousandths, the oldest task first
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
