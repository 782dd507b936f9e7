import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** Forwards TCP connections; while it is cut it passes nothing on and stays silent. */
final class Proxy {
    private final BooleanSupplier isCut;
    private volatile String target;
    private String address;

    Proxy(BooleanSupplier isCut) {
        this.isCut = isCut;
    }

    String start() throws IOException {
        ServerSocket server = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
        address = "127.0.0.1:" + server.getLocalPort();
        Http.thread(
                "proxy",
                () -> {
                    while (true) {
                        Socket from = server.accept();
                        Http.thread("proxy", () -> connect(from));
                    }
                });
        return address;
    }

    void target(String newTarget) {
        target = newTarget;
    }

    private void connect(Socket from) throws Exception {
        while (isCut.getAsBoolean()) {
            Thread.sleep(20);
        }
        String[] parts = target.split(":");
        Socket to;
        try {
            to = new Socket(parts[0], Integer.parseInt(parts[1]));
        } catch (IOException e) {
            // As at the target itself: nobody listens there.
            from.setSoLinger(true, 0);
            from.close();
            return;
        }
        from.setTcpNoDelay(true);
        to.setTcpNoDelay(true);
        Http.thread("proxy", () -> copy(from, to));
        copy(to, from);
    }

    private void copy(Socket from, Socket to) throws Exception {
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            byte[] buffer = new byte[65536];
            for (int n = in.read(buffer); n >= 0; n = in.read(buffer)) {
                while (isCut.getAsBoolean()) {
                    Thread.sleep(20);
                }
                out.write(buffer, 0, n);
                out.flush();
            }
        }
    }
}
