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
 * Caches the advice of a placement adviser on one step of one occurrence.
 *
 * <p>Many steps wait for advice at once, and the adviser serves one call at a time, each taking
 * longer the more VMs it names. Calls that name the whole fleet make the adviser the bottleneck;
 * calls that name one VM are mostly in vain. So a call names the best candidates, as many as
 * callers allow time for, and further ones only once all of those are refused or full. The
 * adviser's decision on a VM does not change: a refused worker is not named again, and an allowed
 * one only once its ticket has expired.
 *
 * <p>Confined to one thread. Times are monotonic nanoseconds.
 */
public final class StepAdvice {
  /** Maximum number of VMs in one call; the time that callers allow for a step is based on it. */
  public static final int MAX_VMS_PER_CALL = 30;

  private record Ticket(String text, long validUntil) {}

  private final Map<String, Ticket> tickets = new HashMap<>();
  private final Set<String> refused = new HashSet<>();

  /**
   * Records the adviser's response to a call.
   *
   * @param named the worker incarnations that the call named
   * @param allowed the tickets of those that may run the step
   * @param validUntil when these tickets expire
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

  /** Returns the valid ticket of a worker, or empty if there is none. */
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
   * Returns the workers that the next call is to name; empty if all are refused or have tickets.
   *
   * @param candidates VMs that could run a task of the step, the best first
   * @param limit maximum number of workers, at least 1
   * @param now monotonic nanoseconds
   */
  public ImmutableList<String> workersToQuery(Collection<VmOffer> candidates, int limit, long now) {
    checkArgument(limit >= 1, "limit is not positive: %s", limit);
    return candidates.stream()
        .map(offer -> offer.place().worker())
        .filter(worker -> !refused.contains(worker) && ticket(worker, now).isEmpty())
        .limit(limit)
        .collect(ImmutableList.toImmutableList());
  }
}
