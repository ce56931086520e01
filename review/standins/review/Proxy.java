package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A TCP proxy whose open connections can be made silent: their bytes are dropped, and they are not closed. */
final class Proxy implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 100, InetAddress.getLoopbackAddress());
    private final int target;
    private final Set<Link> links = ConcurrentHashMap.newKeySet();

    private static final class Link {
        private volatile boolean silent;
    }

    Proxy(int target) throws IOException {
        this.target = target;
        Thread.startVirtualThread(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    /** Makes all open connections silent for good; new ones work. Returns their number. */
    int silenceOpen() {
        int n = links.size();
        links.forEach(l -> l.silent = true);
        links.clear();
        return n;
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Socket from = listener.accept();
                Socket to = new Socket(InetAddress.getLoopbackAddress(), target);
                Link link = new Link();
                links.add(link);
                Thread.startVirtualThread(() -> pump(from, to, link));
                Thread.startVirtualThread(() -> pump(to, from, link));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void pump(Socket from, Socket to, Link link) {
        byte[] buffer = new byte[1 << 16];
        try {
            from.setTcpNoDelay(true);
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                if (!link.silent) {
                    out.write(buffer, 0, n);
                    out.flush();
                }
            }
        } catch (IOException e) {
            // The connection has ended; a silent one stays open on the other side.
        }
        if (!link.silent) {
            links.remove(link);
            close(from);
            close(to);
        }
    }

    private static void close(Socket s) {
        try {
            s.close();
        } catch (IOException e) {
            // Already closed.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
