package io.marigoldsail.daemon.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Answers every request with the bytes it was given last, then closes the connection. */
final class RawResponseServer implements AutoCloseable {
  private static final byte[] END_OF_HEAD = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket acceptor;
  private volatile byte[] respond = new byte[0];

  RawResponseServer() throws IOException {
    this.acceptor = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "raw-answers");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "http://127.0.0.1:" + acceptor.getLocalPort();
  }

  /** Answers with exactly these bytes, no HTTP added. */
  void respondRaw(byte[] bytes) {
    respond = bytes;
  }

  /** Answers 200 with a body, announcing more or fewer bytes than there are. */
  void respond(byte[] body, int announced) {
    String head = "HTTP/1.1 200 OK\r\nContent-Length: " + announced + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(body);
    respond = all.toByteArray();
  }

  void respond(byte[] body) {
    respond(body, body.length);
  }

  @Override
  public void close() throws IOException {
    acceptor.close();
  }

  private void serve() {
    while (!acceptor.isClosed()) {
      try (Socket socket = acceptor.accept()) {
        readHead(socket.getInputStream());
        OutputStream out = socket.getOutputStream();
        out.write(respond);
        out.flush();
        socket.shutdownOutput();
        // Draining what is left of the request keeps the close from resetting the answer away.
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
      } catch (IOException e) {
        // The client has gone, which some of these answers make it do.
      }
    }
  }

  private static void readHead(InputStream in) throws IOException {
    int matched = 0;
    while (matched < END_OF_HEAD.length) {
      int next = in.read();
      if (next < 0) {
        return;
      }
      matched = next == END_OF_HEAD[matched] ? matched + 1 : next == '\r' ? 1 : 0;
    }
  }
}
