import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Reads and writes HTTP/1.1 messages. */
final class Http {
    /** A message: its first line, its headers by name in lower case, and its body. */
    record Message(String start, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(start.split(" ", 3)[1]);
        }

        String header(String name) {
            return headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private Http() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("the channel ended");
            }
            out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1).strip();
    }

    static Message read(InputStream in) throws IOException {
        String start = line(in);
        Map<String, String> headers = new TreeMap<>();
        for (String l = line(in); !l.isEmpty(); l = line(in)) {
            int colon = l.indexOf(':');
            headers.put(
                    l.substring(0, colon).toLowerCase(Locale.ROOT),
                    l.substring(colon + 1).strip());
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if (headers.getOrDefault("transfer-encoding", "").equals("chunked")) {
            for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
                body.write(exactly(in, n));
                line(in);
            }
            line(in);
        } else if (headers.containsKey("content-length")) {
            body.write(exactly(in, Integer.parseInt(headers.get("content-length"))));
        }
        return new Message(start, headers, body.toByteArray());
    }

    private static byte[] exactly(InputStream in, int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the channel ended inside a body");
        }
        return bytes;
    }

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static Socket connect(String ip, int port, int timeoutMillis) throws IOException {
        Socket socket = new Socket();
        socket.connect(new InetSocketAddress(InetAddress.getByName(ip), port), 1_000);
        socket.setSoTimeout(timeoutMillis);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static int get(String ip, int port, String path) throws IOException {
        try (Socket socket = connect(ip, port, 2_000)) {
            socket.getOutputStream().write(bytes("GET " + path + " HTTP/1.1\r\nHost: " + ip + "\r\n\r\n"));
            return read(new BufferedInputStream(socket.getInputStream())).status();
        }
    }
}
