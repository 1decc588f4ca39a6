import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * A proxy before one address. While it cuts, connections are reset and new ones are refused, as
 * with the cuts of the bench whose {@code how} holds {@code reset}.
 */
final class Cut {
  private final InetSocketAddress from;
  private final InetSocketAddress to;
  private final List<Socket> open = new ArrayList<>();
  private ServerSocket listener;

  Cut(String fromHost, int fromPort, int toPort) throws IOException {
    this.from = new InetSocketAddress(InetAddress.getByName(fromHost), fromPort);
    this.to = new InetSocketAddress(InetAddress.getLoopbackAddress(), toPort);
    heal();
  }

  synchronized void heal() throws IOException {
    if (listener != null && !listener.isClosed()) {
      return;
    }
    ServerSocket bound = new ServerSocket();
    bound.setReuseAddress(true);
    bound.bind(from);
    listener = bound;
    daemon(() -> accept(bound));
  }

  synchronized void cut() throws IOException {
    listener.close();
    for (Socket socket : open) {
      if (!socket.isClosed()) {
        socket.setSoLinger(true, 0);
        socket.close();
      }
    }
    open.clear();
  }

  private static void daemon(Runnable task) {
    Thread thread = new Thread(task, "proxy");
    thread.setDaemon(true);
    thread.start();
  }

  private void accept(ServerSocket bound) {
    while (!bound.isClosed()) {
      try {
        Socket caller = bound.accept();
        Socket called = new Socket();
        called.setTcpNoDelay(true);
        caller.setTcpNoDelay(true);
        try {
          called.connect(to, 1_000);
        } catch (IOException e) {
          caller.close();
          continue;
        }
        synchronized (this) {
          if (bound.isClosed()) {
            caller.close();
            called.close();
            return;
          }
          open.add(caller);
          open.add(called);
        }
        daemon(() -> copy(caller, called));
        daemon(() -> copy(called, caller));
      } catch (IOException e) {
        // Cut: the listener is closed.
      }
    }
  }

  private static void copy(Socket from, Socket to) {
    byte[] buffer = new byte[16 * 1024];
    try {
      InputStream in = from.getInputStream();
      OutputStream out = to.getOutputStream();
      for (int read = in.read(buffer); read >= 0; read = in.read(buffer)) {
        out.write(buffer, 0, read);
      }
    } catch (IOException e) {
      // One end has closed or was reset.
    }
    try {
      to.close();
      from.close();
    } catch (IOException e) {
      // Nothing is left to close.
    }
  }
}
