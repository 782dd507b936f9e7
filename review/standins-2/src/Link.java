import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.function.BooleanSupplier;

/** A way from one controller to another. While it is cut it is silent, and holds back what comes. */
final class Link {
    private final ServerSocket listener;
    private final String target;
    private final BooleanSupplier cut;

    Link(String target, BooleanSupplier cut) throws IOException {
        this.target = target;
        this.cut = cut;
        listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
        Kit.POOL.submit(this::accept);
    }

    String addr() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private void accept() {
        while (true) {
            try {
                Socket from = listener.accept();
                Kit.POOL.submit(() -> connect(from));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket from) {
        while (cut.getAsBoolean()) {
            Kit.sleep(0.05);
        }
        int colon = target.indexOf(':');
        try {
            int port = Integer.parseInt(target.substring(colon + 1));
            Socket to = new Socket(target.substring(0, colon), port);
            Kit.POOL.submit(() -> copy(from, to));
            copy(to, from);
        } catch (IOException e) {
            close(from);
        }
    }

    private void copy(Socket from, Socket to) {
        byte[] buffer = new byte[16 * 1024];
        try {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int bytes;
            while ((bytes = in.read(buffer)) >= 0) {
                while (cut.getAsBoolean()) {
                    Kit.sleep(0.02);
                }
                out.write(buffer, 0, bytes);
                out.flush();
            }
        } catch (IOException e) {
            // Closed below, as at the end of the stream.
        }
        while (cut.getAsBoolean()) {
            Kit.sleep(0.02);
        }
        close(from);
        close(to);
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }
}
