package io.marigoldsail.daemon.dispatch;

import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.dispatch.AttemptOutcome;
import io.marigoldsail.error.ErrorKind;
import io.marigoldsail.error.Failure;
import io.marigoldsail.protocol.KeyClaim;
import java.util.concurrent.Future;

/** A caller's request in an entry that has no response yet. Confined to the loop's thread. */
final class PendingRequest {
  private final long number;
  private final String label;
  private final CallerRequest request;
  private final ResponseSink sink;
  private Attempt attempt;
  private KeyClaim ownerClaim;
  private boolean targetDetectsRepeats;
  private int ownerAttempts;
  private String vm = "";
  private boolean mayHaveRun;
  private AttemptOutcome lastOutcome = AttemptOutcome.NOT_RUN;
  private CallerResponse lastResponse;
  private Failure lastFailure =
      Failure.of(ErrorKind.INTERNAL, "the request ended without the outcome of any attempt");

  PendingRequest(long number, String label, CallerRequest request, ResponseSink sink) {
    this.number = number;
    this.label = label;
    this.request = request;
    this.sink = sink;
  }

  /** One attempt, sent to one side process under one attempt id. */
  static final class Attempt {
    private final long sequence;
    private final TargetPool pool;
    private LinkConnection connection;
    private ResponseAssembly assembly;
    private Future<?> timer;
    private long resolveDeadline = Long.MAX_VALUE;

    Attempt(long sequence, TargetPool pool, LinkConnection connection) {
      this.sequence = sequence;
      this.pool = pool;
      this.connection = connection;
      pool.attemptBegan();
    }

    long sequence() {
      return sequence;
    }

    TargetPool pool() {
      return pool;
    }

    /** Returns the connection that the response is expected on, or null if it was lost. */
    LinkConnection connection() {
      return connection;
    }

    void connection(LinkConnection newConnection) {
      connection = newConnection;
      dropAssembly();
    }

    ResponseAssembly assembly() {
      return assembly;
    }

    void assembly(ResponseAssembly newAssembly) {
      dropAssembly();
      assembly = newAssembly;
    }

    void timer(Future<?> newTimer) {
      timer = newTimer;
    }

    long resolveDeadline() {
      return resolveDeadline;
    }

    void resolveDeadline(long deadline) {
      resolveDeadline = deadline;
    }

    void end() {
      dropAssembly();
      timer.cancel(false);
      pool.attemptEnded();
    }

    private void dropAssembly() {
      if (assembly != null) {
        assembly.release();
        assembly = null;
      }
    }
  }

  long number() {
    return number;
  }

  String label() {
    return label;
  }

  CallerRequest request() {
    return request;
  }

  ResponseSink sink() {
    return sink;
  }

  /** Returns the VM of the current or last attempt, or empty before the first. */
  String vm() {
    return vm;
  }

  void vm(String newVm) {
    vm = newVm;
  }

  /**
   * Records that the request is sent to the owner of its key, which holds the shard by the claim.
   */
  void sentToOwner(KeyClaim claim, boolean detectsRepeats) {
    ownerClaim = claim;
    targetDetectsRepeats = detectsRepeats;
    ownerAttempts++;
  }

  /** Returns how often the request was sent to the owner of its key. */
  int ownerAttempts() {
    return ownerAttempts;
  }

  /** Returns whether the owner may run it without knowing which requests a former owner ran. */
  boolean targetDetectsRepeats() {
    return targetDetectsRepeats;
  }

  boolean isRoutedToOwner() {
    return ownerClaim != null;
  }

  /**
   * Returns the claim of the owner that the request is sent to, or null if any target may run it.
   */
  KeyClaim ownerClaim() {
    return ownerClaim;
  }

  Attempt attempt() {
    return attempt;
  }

  void attempt(Attempt newAttempt) {
    attempt = newAttempt;
  }

  /** Returns whether any attempt so far may have taken effect. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  AttemptOutcome lastOutcome() {
    return lastOutcome;
  }

  /** Returns the response of the last attempt, or null if it had none. */
  CallerResponse lastResponse() {
    return lastResponse;
  }

  Failure lastFailure() {
    return lastFailure;
  }

  /** Records the outcome of an attempt; exactly one of response and failure is not null. */
  void attemptEnded(AttemptOutcome outcome, CallerResponse response, Failure failure) {
    if (attempt != null) {
      attempt.end();
      attempt = null;
    }
    mayHaveRun |= outcome.mayHaveRun();
    lastOutcome = outcome;
    lastResponse = response;
    if (failure != null) {
      lastFailure = failure;
    }
  }
}
