package io.marigoldsail.daemon.dispatch;

import com.google.protobuf.ByteString;
import io.marigoldsail.daemon.link.BrokenFrameException;
import io.marigoldsail.daemon.link.LinkConnection;
import io.marigoldsail.dispatch.AttemptId;
import io.marigoldsail.protocol.RequestStart;

/** A pending request in a side process. Confined to the loop's thread. */
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

  /** Returns the deadline of the response in nanoseconds of this process's monotonic clock. */
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

  /** Sets the connection for the response: the one that requested it last. */
  void responseConnection(LinkConnection connection) {
    responseConnection = connection;
  }

  void appendBody(ByteString data, boolean last) throws BrokenFrameException {
    body = body.isEmpty() ? data : body.concat(data);
    long length = start.getBodyLength();
    if (body.size() > length || (last && body.size() != length)) {
      throw new BrokenFrameException(
          "body of " + id + " has " + body.size() + " bytes, announced were " + length);
    }
    complete = last;
  }

  /** Drops the body once the target has received it or it is no longer needed. */
  void releaseBody() {
    body = ByteString.EMPTY;
  }
}
