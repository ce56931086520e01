package org.lycheetray.protocol;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import org.lycheetray.protocol.generated.Hello;

/**
 * Authenticates the frames of one connection after both greetings have been exchanged.
 *
 * <p>Each direction has its own key, derived from the fleet secret and both greetings, and its own frame counter. This
 * prevents forgery, replay, reordering and reflection of frames. Not thread-safe.
 */
public final class FrameAuthenticator {
    /** Length of the authentication code at the start of a frame, in bytes. */
    public static final int CODE_BYTES = 16;

    private final Mac sending;
    private final Mac receiving;
    private long sent;
    private long received;

    private FrameAuthenticator(Mac sending, Mac receiving) {
        this.sending = sending;
        this.receiving = receiving;
    }

    /**
     * Creates the authenticator of the end that opened the connection.
     *
     * @param secret fleet secret
     * @param local greeting sent by this end
     * @param remote greeting received
     * @return the authenticator
     */
    public static FrameAuthenticator forDialler(FleetSecret secret, Hello local, Hello remote) {
        return new FrameAuthenticator(
                FleetSecret.macOf(key(secret, "dialler", local, remote)),
                FleetSecret.macOf(key(secret, "acceptor", local, remote)));
    }

    /**
     * Creates the authenticator of the end that accepted the connection.
     *
     * @param secret fleet secret
     * @param local greeting sent by this end
     * @param remote greeting received
     * @return the authenticator
     */
    public static FrameAuthenticator forAcceptor(FleetSecret secret, Hello local, Hello remote) {
        return new FrameAuthenticator(
                FleetSecret.macOf(key(secret, "acceptor", remote, local)),
                FleetSecret.macOf(key(secret, "dialler", remote, local)));
    }

    private static byte[] key(FleetSecret secret, String direction, Hello dialler, Hello acceptor) {
        return secret.derive(text(direction), identity(dialler), identity(acceptor));
    }

    private static byte[] identity(Hello h) {
        byte[] name = text(h.getVm() + "@" + h.getIncarnation() + "/" + h.getProtocolVersion() + "/");
        byte[] both = Arrays.copyOf(name, name.length + h.getNonce().length);
        System.arraycopy(h.getNonce(), 0, both, name.length, h.getNonce().length);
        return both;
    }

    private static byte[] text(String s) {
        return s.getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Creates the next outgoing frame: the authentication code followed by the message.
     *
     * @param message content of the next frame
     * @return the frame
     */
    public byte[] seal(byte[] message) {
        byte[] frame = new byte[CODE_BYTES + message.length];
        byte[] code = code(sending, sent++, message, 0);
        System.arraycopy(code, 0, frame, 0, CODE_BYTES);
        System.arraycopy(message, 0, frame, CODE_BYTES, message.length);
        return frame;
    }

    /**
     * Verifies the next incoming frame and returns its message.
     *
     * @param frame frame as received
     * @return the message, or the reason for its rejection; the connection must be closed after a rejection
     */
    public Either<ProtocolError, byte[]> open(byte[] frame) {
        if (frame.length < CODE_BYTES) {
            return Either.left(new ProtocolError(ProtocolError.Kind.TRUNCATED, frame.length + " bytes"));
        }
        byte[] expected = code(receiving, received++, frame, CODE_BYTES);
        if (!MessageDigest.isEqual(Arrays.copyOf(expected, CODE_BYTES), Arrays.copyOf(frame, CODE_BYTES))) {
            return Either.left(new ProtocolError(ProtocolError.Kind.NOT_AUTHENTIC, "frame " + (received - 1)));
        }
        return Either.right(Arrays.copyOfRange(frame, CODE_BYTES, frame.length));
    }

    private static byte[] code(Mac mac, long number, byte[] bytes, int from) {
        for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
            mac.update((byte) (number >>> shift));
        }
        mac.update(bytes, from, bytes.length - from);
        return mac.doFinal();
    }
}
