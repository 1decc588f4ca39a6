package io.marigoldsail.daemon.platform;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Responds to every request with the bytes that were set last, then closes the connection. */
final class RawResponseServer implements AutoCloseable {
  private static final byte[] END_OF_HEAD = "\r\n\r\n".getBytes(StandardCharsets.US_ASCII);

  private final ServerSocket acceptor;
  private volatile byte[] response = new byte[0];

  RawResponseServer() throws IOException {
    this.acceptor = new ServerSocket(0, 64, InetAddress.getLoopbackAddress());
    Thread thread = new Thread(this::serve, "raw-responses");
    thread.setDaemon(true);
    thread.start();
  }

  String address() {
    return "http://127.0.0.1:" + acceptor.getLocalPort();
  }

  /** Sets a response of exactly these bytes, without HTTP framing. */
  void respondRaw(byte[] bytes) {
    response = bytes;
  }

  /** Sets a response with status 200, a body, and the given Content-Length, which may be wrong. */
  void respond(byte[] body, int contentLength) {
    // The server closes each connection; a client that is not told may reuse it and lose its call.
    String head =
        "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: " + contentLength + "\r\n\r\n";
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    all.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
    all.writeBytes(body);
    response = all.toByteArray();
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
        out.write(response);
        out.flush();
        socket.shutdownOutput();
        // Without draining the rest of the request, the close would reset the connection and lose
        // the response.
        socket.getInputStream().skipNBytes(socket.getInputStream().available());
      } catch (IOException e) {
        // The client closed the connection, as some of these responses cause it to.
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
