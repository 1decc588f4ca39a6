package io.marigoldsail.tests.scenario;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

/**
 * Allocates free ports for processes started by tests.
 *
 * <p>Uses ports below the ephemeral range: an ephemeral port that is free when chosen can be taken
 * by an outgoing connection before the process listens on it.
 */
public final class FreePorts {
  private static final int FIRST = 10_000;
  private static final int COUNT = 20_000;
  private static final int PORTS_A_RUN = 400;

  private static int next = (int) (ProcessHandle.current().pid() * PORTS_A_RUN % COUNT);

  private FreePorts() {}

  /** Returns a free address on loopback, and does not return it again until all ports were used. */
  public static synchronized String address() {
    while (true) {
      int port = FIRST + next;
      next = (next + 1) % COUNT;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        return "127.0.0.1:" + socket.getLocalPort();
      } catch (IOException e) {
        // The port is in use; try the next one.
      }
    }
  }
}
