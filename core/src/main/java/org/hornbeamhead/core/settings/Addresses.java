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
    private static final Pattern FORMAT = Pattern.compile("(\\d{1,3}(?:\\.\\d{1,3}){3}):(\\d{1,5})");
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /**
     * Parses an IP address and port.
     *
     * @param text the text
     * @return the address, or a message that says why the text is invalid
     */
    public static Either<String, InetSocketAddress> parse(String text) {
        Matcher m = FORMAT.matcher(text.trim());
        if (!m.matches() || Integer.parseInt(m.group(2)) > MAX_PORT) {
            return Either.left("'" + text + "' is no address; write an IP number and a port, such as 10.0.0.1:8080");
        }
        try {
            return Either.right(new InetSocketAddress(InetAddress.getByName(m.group(1)), Integer.parseInt(m.group(2))));
        } catch (UnknownHostException e) {
            return Either.left("'" + m.group(1) + "' is no IP number");
        }
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
