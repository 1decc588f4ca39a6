package io.marigoldsail.tests.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Ports for processes that a test starts.
 *
 * <p>Below those that the system gives to outgoing connections: a port that was free when it was
 * chosen is otherwise taken, now and then, by some connection before its process listens on it.
 */
public final class FreePorts {
  private static final int FIRST = 10_000;
  private static final int COUNT = 20_000;
  private static final int PORTS_A_RUN = 400;

  private static int next = (int) (ProcessHandle.current().pid() * PORTS_A_RUN % COUNT);

  private FreePorts() {}

  /** Returns an address on loopback that nobody listens on, and that is not given out again. */
  public static synchronized String address() {
    while (true) {
      int port = FIRST + next;
      next = (next + 1) % COUNT;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (IOException e) {
        // Taken; the next one may be free.
      }
    }
  }
}
