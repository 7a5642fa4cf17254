import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A small HTTP/1.1 server and client on blocking sockets, one thread a connection. */
final class Http {
    private static final int FIRST_PORT = 12_000;
    private static final int PORTS = 18_000;
    private static final Random RANDOM = new Random();
    private static final Set<Integer> TAKEN = new HashSet<>();

    private Http() {}

    /** A request or a response. Header names are in lower case. */
    static final class Message {
        String start = "";
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];
        /** Whether the body has its end; false if the connection ended first. */
        boolean complete = true;

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        String method() {
            return start.split(" ")[0];
        }

        String path() {
            return start.split(" ")[1].split("\\?")[0];
        }

        String query(String name) {
            String[] parts = start.split(" ")[1].split("\\?", 2);
            if (parts.length > 1) {
                for (String pair : parts[1].split("&")) {
                    String[] kv = pair.split("=", 2);
                    if (kv[0].equals(name)) {
                        return kv.length > 1 ? URLDecoder.decode(kv[1], StandardCharsets.UTF_8) : "";
                    }
                }
            }
            return "";
        }

        int status() {
            return start.startsWith("HTTP/1.1 ") ? Integer.parseInt(start.substring(9, 12)) : 0;
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Answers one request by writing to the connection. */
    interface Handler {
        void handle(Message request, Connection connection) throws IOException, InterruptedException;
    }

    /** One connection of a server. */
    static final class Connection {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            this.in = new BufferedInputStream(socket.getInputStream());
            this.out = socket.getOutputStream();
        }

        void write(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        void answer(int status, String headers, String body) throws IOException {
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            all.writeBytes(("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + bytes.length + "\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
            all.writeBytes(bytes);
            out.write(all.toByteArray());
            out.flush();
        }

        void json(int status, String body) throws IOException {
            answer(status, "Content-Type: application/json\r\n", body);
        }
    }

    static ServerSocket serve(InetSocketAddress address, Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(address, 512);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(new Connection(socket), handler));
            }
        });
        return server;
    }

    private static void serve(Connection connection, Handler handler) throws Exception {
        try {
            Message request = read(connection.in, false);
            while (request != null && !connection.socket.isClosed()) {
                handler.handle(request, connection);
                request = connection.socket.isClosed() ? null : read(connection.in, false);
            }
        } finally {
            connection.socket.close();
        }
    }

    /** Runs a task on a daemon thread; its failure ends the thread only. */
    static Thread daemon(Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection or the case has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, "stand-in", 256 << 10);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A task that may throw. */
    interface Task {
        void run() throws Exception;
    }

    /** Returns an address that is free now, below the ports that outgoing connections use. */
    static synchronized InetSocketAddress freeAddress(String host) throws IOException {
        for (int i = 0; i < 1_000; i++) {
            int port = FIRST_PORT + RANDOM.nextInt(PORTS);
            try (ServerSocket socket = new ServerSocket()) {
                socket.bind(new InetSocketAddress(host, port));
                if (TAKEN.add(port)) {
                    return new InetSocketAddress(host, port);
                }
            } catch (IOException e) {
                // Another process has it.
            }
        }
        throw new IOException("no port is free");
    }

    static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        int c = in.read();
        while (c != '\n') {
            if (c < 0) {
                return null;
            }
            out.write(c);
            c = in.read();
        }
        return out.toString(StandardCharsets.ISO_8859_1).replace("\r", "");
    }

    /** Reads a message; null if the connection ended before its head was complete. */
    static Message read(InputStream in, boolean response) throws IOException {
        Message message = new Message();
        String line = line(in);
        if (line == null) {
            return null;
        }
        message.start = line;
        for (line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            message.headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        if (line == null) {
            return null;
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            if (message.header("Transfer-Encoding").equals("chunked")) {
                readChunks(in, body);
            } else if (!message.header("Content-Length").isEmpty()) {
                readBytes(in, body, Integer.parseInt(message.header("Content-Length")));
            } else if (response) {
                in.transferTo(body);
            }
        } catch (IOException e) {
            message.complete = false;
        }
        message.body = body.toByteArray();
        return message;
    }

    private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
        while (true) {
            String size = line(in);
            if (size == null) {
                throw new EOFException();
            }
            int length = Integer.parseInt(size.trim(), 16);
            readBytes(in, body, length);
            if (line(in) == null) {
                throw new EOFException();
            }
            if (length == 0) {
                return;
            }
        }
    }

    private static void readBytes(InputStream in, ByteArrayOutputStream body, int length) throws IOException {
        byte[] bytes = in.readNBytes(length);
        body.writeBytes(bytes);
        if (bytes.length < length) {
            throw new EOFException();
        }
    }

    /**
     * Sends a request on a new connection and reads the answer.
     *
     * @return the answer, null if the connection ended without the head of one
     */
    static Message call(InetSocketAddress address, String request, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(address, 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return read(new BufferedInputStream(socket.getInputStream()), true);
        } catch (IOException e) {
            return null;
        }
    }
}
