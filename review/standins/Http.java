import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client that sends one HTTP/1.1 request on a connection of its own. */
final class Http {
  private static final int DEADLINE_MILLIS = 3_000;

  /** An answer; status 0 if there is none. */
  static final class Answer {
    final int status;
    final String body;

    Answer(int status, String body) {
      this.status = status;
      this.body = body;
    }
  }

  private final String ip;
  private final int port;

  Http(String ip, int port) {
    this.ip = ip;
    this.port = port;
  }

  Answer send(String method, String host, String path, String body) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(ip, port), DEADLINE_MILLIS);
      socket.setSoTimeout(DEADLINE_MILLIS);
      byte[] content = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
      String head =
          method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Deadline-Ms: " + DEADLINE_MILLIS
              + "\r\n"
              + (body == null ? "" : "Content-Type: application/json\r\nContent-Length: " + content.length + "\r\n")
              + "Connection: close\r\n\r\n";
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      out.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
      out.writeBytes(content);
      socket.getOutputStream().write(out.toByteArray());
      socket.getOutputStream().flush();
      return read(new BufferedInputStream(socket.getInputStream()));
    } catch (IOException e) {
      return new Answer(0, e.toString());
    }
  }

  private static Answer read(InputStream in) throws IOException {
    String status = line(in);
    if (status.length() < 12) {
      throw new IOException("no answer");
    }
    int length = 0;
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      if (header.toLowerCase().startsWith("content-length:")) {
        length = Integer.parseInt(header.substring(15).trim());
      }
    }
    byte[] body = in.readNBytes(length);
    return new Answer(
        Integer.parseInt(status.substring(9, 12)), new String(body, StandardCharsets.UTF_8));
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n' && c != -1; c = in.read()) {
      if (c != '\r') {
        text.append((char) c);
      }
    }
    return text.toString();
  }
}
