package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.protocol.RequestStart;

/** One request in a side process, until it has ended. Confined to the loop's thread. */
final class SideRequest {
  private final AttemptId id;
  private final RequestStart start;
  private final long deadline;
  private ByteString body;
  private boolean complete;
  private LinkConnection responseConnection;

  SideRequest(AttemptId id, RequestStart start, long deadline, LinkConnection answerTo)
      throws BrokenFrameException {
    this.id = id;
    this.start = start;
    this.deadline = deadline;
    this.responseConnection = answerTo;
    this.body = ByteString.EMPTY;
    appendBody(start.getData(), start.getLast());
  }

  AttemptId id() {
    return id;
  }

  RequestStart start() {
    return start;
  }

  /** Returns when the answer is of no more use, on this process's monotonic clock. */
  long deadline() {
    return deadline;
  }

  ByteString body() {
    return body;
  }

  boolean isComplete() {
    return complete;
  }

  LinkConnection responseConnection() {
    return responseConnection;
  }

  /** Lets the answer go to the connection on which it was asked for last. */
  void responseConnection(LinkConnection connection) {
    responseConnection = connection;
  }

  void appendBody(ByteString data, boolean last) throws BrokenFrameException {
    body = body.isEmpty() ? data : body.concat(data);
    long length = start.getBodyLength();
    if (body.size() > length || (last && body.size() != length)) {
      throw new BrokenFrameException(
          "body of " + id + " has " + body.size() + " bytes, not " + length);
    }
    complete = last;
  }

  /** Lets go of the body once the target has it. */
  void releaseBody() {
    body = ByteString.EMPTY;
  }
}
