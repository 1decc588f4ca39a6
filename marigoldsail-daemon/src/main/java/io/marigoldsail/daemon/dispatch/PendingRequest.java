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
  private final AnswerSink sink;
  private Attempt attempt;
  private KeyClaim home;
  private boolean targetDetectsRepeats;
  private int triesAtHome;
  private String vm = "";
  private boolean mayHaveRun;
  private AttemptOutcome lastOutcome = AttemptOutcome.NOT_RUN;
  private CallerAnswer lastAnswer;
  private Failure lastFailure =
      Failure.of(ErrorKind.INTERNAL, "the request ended without the outcome of any attempt");

  PendingRequest(long number, String label, CallerRequest request, AnswerSink sink) {
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
    private AnswerAssembly assembly;
    private Future<?> timer;
    private long resolveUntil = Long.MAX_VALUE;

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

    AnswerAssembly assembly() {
      return assembly;
    }

    void assembly(AnswerAssembly newAssembly) {
      dropAssembly();
      assembly = newAssembly;
    }

    void timer(Future<?> newTimer) {
      timer = newTimer;
    }

    long resolveUntil() {
      return resolveUntil;
    }

    void resolveUntil(long deadline) {
      resolveUntil = deadline;
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

  AnswerSink sink() {
    return sink;
  }

  /** Returns the VM of the current or last attempt, or empty before the first. */
  String vm() {
    return vm;
  }

  void vm(String newVm) {
    vm = newVm;
  }

  /** Records that the request is sent to the owner of its key, which holds the shard by the claim. */
  void sentHome(KeyClaim claim, boolean detectsRepeats) {
    home = claim;
    targetDetectsRepeats = detectsRepeats;
    triesAtHome++;
  }

  /** Returns how often the request was sent to the owner of its key. */
  int triesAtHome() {
    return triesAtHome;
  }

  /** Returns whether the owner may run it without knowing which requests a former owner ran. */
  boolean targetDetectsRepeats() {
    return targetDetectsRepeats;
  }

  boolean isAtHome() {
    return home != null;
  }

  /** Returns the claim of the owner that the request is sent to, or null if any target may run it. */
  KeyClaim home() {
    return home;
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
  CallerAnswer lastAnswer() {
    return lastAnswer;
  }

  Failure lastFailure() {
    return lastFailure;
  }

  /** Records the outcome of an attempt; exactly one of response and failure is not null. */
  void ended(AttemptOutcome outcome, CallerAnswer response, Failure failure) {
    if (attempt != null) {
      attempt.end();
      attempt = null;
    }
    mayHaveRun |= outcome.mayHaveRun();
    lastOutcome = outcome;
    lastAnswer = response;
    if (failure != null) {
      lastFailure = failure;
    }
  }
}
