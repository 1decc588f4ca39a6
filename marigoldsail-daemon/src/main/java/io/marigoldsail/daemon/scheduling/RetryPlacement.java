package io.marigoldsail.daemon.scheduling;

import com.google.common.collect.ImmutableList;
import io.marigoldsail.workflow.VmChooser;
import io.marigoldsail.workflow.VmOffer;
import io.marigoldsail.workflow.WorkflowTask;
import java.util.Collection;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Function;

/** Avoids VMs on which a task, or a member of its gang, was tried in vain. Stateless. */
public final class RetryPlacement {
  private RetryPlacement() {}

  /**
   * Returns a VM for each member, or none.
   *
   * <p>VMs whose workers have rejected a member are used only if the others admit none, also for
   * service tasks: what is rejected there does not run at all. VMs on which a member has failed are
   * avoided where possible, since the VM may be the cause of the failure; see {@link
   * VmChooser#prefersOtherVm}.
   *
   * @param members the task, or all members of its gang
   * @param chooser returns a VM for each member among the given ones, or none
   */
  public static List<VmOffer> choose(
      List<WorkflowTask> members,
      Collection<VmOffer> offers,
      Function<Collection<VmOffer>, List<VmOffer>> chooser) {
    if (members.stream().allMatch(each -> each.rejections() == 0)) {
      return chooseAvoidingFailures(members, offers, chooser);
    }
    List<VmOffer> untried =
        chooseAvoidingFailures(
            members, without(members, offers, WorkflowTask::wasRejectedOn), chooser);
    return untried.isEmpty() ? chooseAvoidingFailures(members, offers, chooser) : untried;
  }

  private static List<VmOffer> chooseAvoidingFailures(
      List<WorkflowTask> members,
      Collection<VmOffer> offers,
      Function<Collection<VmOffer>, List<VmOffer>> chooser) {
    List<VmOffer> withoutFailure = without(members, offers, WorkflowTask::hasFailedOn);
    List<VmOffer> elsewhere = chooser.apply(withoutFailure);
    if (withoutFailure.size() == offers.size()) {
      return elsewhere;
    }
    List<VmOffer> anywhere = chooser.apply(offers);
    if (members.size() > 1) {
      return elsewhere.isEmpty() ? anywhere : elsewhere;
    }
    boolean avoid =
        VmChooser.prefersOtherVm(
            members.get(0).step(), elsewhere.stream().findFirst(), anywhere.stream().findFirst());
    return avoid ? elsewhere : anywhere;
  }

  private static ImmutableList<VmOffer> without(
      List<WorkflowTask> members,
      Collection<VmOffer> offers,
      BiPredicate<WorkflowTask, String> tried) {
    return offers.stream()
        .filter(offer -> members.stream().noneMatch(each -> tried.test(each, offer.place().vm())))
        .collect(ImmutableList.toImmutableList());
  }
}
