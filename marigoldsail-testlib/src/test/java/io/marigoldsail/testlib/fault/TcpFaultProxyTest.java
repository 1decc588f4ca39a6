package io.marigoldsail.testlib.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.marigoldsail.testlib.fault.TcpFaultProxy.Direction;
import io.marigoldsail.testlib.platform.StandInTarget;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

final class TcpFaultProxyTest {
  private static final int RESPONSE_TIMEOUT_MILLIS = 10_000;
  private static final int BLACKHOLE_TIMEOUT_MILLIS = 200;

  private StandInTarget target;
  private TcpFaultProxy proxy;

  @BeforeEach
  void start() {
    target = new StandInTarget("t", "127.0.0.1", 0, 8, 64).start();
    proxy = new TcpFaultProxy(URI.create(target.address()).getPort());
  }

  @AfterEach
  void stop() {
    proxy.close();
    target.close();
  }

  @Test
  void blackholesOpenConnectionsWhileNewOnesWork() throws IOException {
    try (Socket open = connect();
        Socket fresh = connect()) {
      assertEquals("HTTP/1.1 200", sendRequest(open, RESPONSE_TIMEOUT_MILLIS));
      // A connected socket may not be accepted yet; only a response shows that the proxy handles
      // it.
      assertEquals("HTTP/1.1 200", sendRequest(fresh, RESPONSE_TIMEOUT_MILLIS));
      proxy.blackholeOpenConnections(Direction.TO_CLIENT);
      assertThrows(SocketTimeoutException.class, () -> sendRequest(open, BLACKHOLE_TIMEOUT_MILLIS));
      assertThrows(
          SocketTimeoutException.class, () -> sendRequest(fresh, BLACKHOLE_TIMEOUT_MILLIS));
    }
    try (Socket later = connect()) {
      assertEquals("HTTP/1.1 200", sendRequest(later, RESPONSE_TIMEOUT_MILLIS));
    }
    assertEquals(5, target.runs().size());
  }

  @Test
  void cutsAndRefuses() throws IOException {
    try (Socket open = connect()) {
      assertEquals("HTTP/1.1 200", sendRequest(open, RESPONSE_TIMEOUT_MILLIS));
      proxy.setRefusing(true);
      assertEquals(-1, readOrReset(open));
    }
    try (Socket refused = connect()) {
      assertEquals(-1, readOrReset(refused));
    }
    proxy.setRefusing(false);
    try (Socket later = connect()) {
      assertEquals("HTTP/1.1 200", sendRequest(later, RESPONSE_TIMEOUT_MILLIS));
    }
  }

  private Socket connect() throws IOException {
    return new Socket(InetAddress.getLoopbackAddress(), proxy.port());
  }

  private static String sendRequest(Socket socket, int timeoutMillis) throws IOException {
    socket.setSoTimeout(timeoutMillis);
    byte[] request = "GET /x HTTP/1.1\r\nHost: t\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
    socket.getOutputStream().write(request);
    byte[] start = socket.getInputStream().readNBytes("HTTP/1.1 200".length());
    byte[] rest = new byte[4_096];
    int unused = socket.getInputStream().read(rest);
    return new String(start, StandardCharsets.US_ASCII);
  }

  private static int readOrReset(Socket socket) {
    try {
      socket.setSoTimeout(RESPONSE_TIMEOUT_MILLIS);
      int read = socket.getInputStream().read();
      while (read >= 0) {
        read = socket.getInputStream().read();
      }
      return read;
    } catch (IOException e) {
      return -1;
    }
  }
}
