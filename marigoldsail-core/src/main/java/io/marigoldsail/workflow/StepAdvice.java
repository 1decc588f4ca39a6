package io.marigoldsail.workflow;

import static com.google.common.base.Preconditions.checkArgument;
import static java.util.Objects.requireNonNull;

import com.google.common.collect.ImmutableList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * What a placement adviser has said of one step of one occurrence.
 *
 * <p>Load pattern: many steps wait for advice at once, and the adviser takes calls one at a time,
 * each the longer the more VMs it names. Asked about the whole fleet for each step it is the
 * bottleneck; asked about one VM, most calls are in vain. So a call names the best candidates, as
 * many as callers expect it to, and further ones only once all that were named are refused or full.
 * The answer for a VM does not change: who was refused is not named again, and who was allowed only
 * when the ticket runs out.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class StepAdvice {
  /** The most VMs in one call: what the time that callers allow for a step is reckoned with. */
  public static final int MAX_VMS_PER_CALL = 30;

  private record Ticket(String text, long validUntil) {}

  private final Map<String, Ticket> tickets = new HashMap<>();
  private final Set<String> refused = new HashSet<>();

  /**
   * Takes an answer.
   *
   * @param named the lives of workers that the call named
   * @param allowed those that may run the step, with their tickets
   * @param validUntil when these tickets run out
   */
  public void recordAnswer(Collection<String> named, Map<String, String> allowed, long validUntil) {
    for (String worker : named) {
      String ticket = allowed.get(worker);
      if (ticket == null) {
        refused.add(worker);
      } else {
        tickets.put(worker, new Ticket(ticket, validUntil));
      }
    }
  }

  /** Returns the ticket for a worker, or empty if there is none that is valid. */
  public Optional<String> ticket(String worker, long now) {
    return Optional.ofNullable(tickets.get(requireNonNull(worker, "worker")))
        .filter(ticket -> now < ticket.validUntil())
        .map(Ticket::text);
  }

  /** Returns the offers whose workers may run the step now. */
  public ImmutableList<VmOffer> allowedOffers(Collection<VmOffer> offers, long now) {
    return offers.stream()
        .filter(offer -> ticket(offer.place().worker(), now).isPresent())
        .collect(ImmutableList.toImmutableList());
  }

  /**
   * Returns the workers that the next call is to name; none if all are refused or have tickets.
   *
   * @param candidates VMs that could run a task of the step, the best first
   */
  public ImmutableList<String> workersToQuery(Collection<VmOffer> candidates, int most, long now) {
    checkArgument(most >= 1, "most is not positive: %s", most);
    return candidates.stream()
        .map(offer -> offer.place().worker())
        .filter(worker -> !refused.contains(worker) && ticket(worker, now).isEmpty())
        .limit(most)
        .collect(ImmutableList.toImmutableList());
  }
}
