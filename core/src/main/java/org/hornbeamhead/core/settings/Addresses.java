package org.hornbeamhead.core.settings;

import io.vavr.control.Either;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses and formats addresses such as {@code 10.0.0.1:8080}. Host names are rejected; hosts are reached by IP address.
 */
public final class Addresses {
    private static final String OCTET = "(0|[1-9]\\d{0,2})";
    private static final Pattern FORMAT =
            Pattern.compile(String.join("\\.", OCTET, OCTET, OCTET, OCTET) + ":(0|[1-9]\\d{0,4})");
    private static final int OCTETS = 4;
    private static final int MAX_OCTET = 255;
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an IP address and port. No name service is asked, whatever the text.
     *
     * @param text the text
     * @return the address, or a message that says why the text is invalid
     */
    public static Either<String, InetSocketAddress> parse(String text) {
        Matcher m = FORMAT.matcher(text.trim());
        if (!m.matches() || Integer.parseInt(m.group(OCTETS + 1)) > MAX_PORT) {
            return invalid(text);
        }
        byte[] octets = new byte[OCTETS];
        for (int i = 0; i < OCTETS; i++) {
            int octet = Integer.parseInt(m.group(i + 1));
            if (octet > MAX_OCTET) {
                return invalid(text);
            }
            octets[i] = (byte) octet;
        }
        try {
            return Either.right(
                    new InetSocketAddress(InetAddress.getByAddress(octets), Integer.parseInt(m.group(OCTETS + 1))));
        } catch (UnknownHostException e) {
            throw new IllegalStateException("four octets are always an address", e);
        }
    }

    private static Either<String, InetSocketAddress> invalid(String text) {
        return Either.left("'" + text + "' is no address; write an IP number and a port, such as 10.0.0.1:8080");
    }

    /**
     * Formats an address.
     *
     * @param address the address
     * @return the text that {@link #parse} accepts
     */
    public static String format(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
