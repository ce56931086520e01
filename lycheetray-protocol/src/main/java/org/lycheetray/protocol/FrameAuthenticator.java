package org.lycheetray.protocol;

import io.vavr.control.Either;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import org.lycheetray.protocol.generated.Hello;

/**
 * Authenticates the frames of one connection after both greetings were exchanged.
 *
 * <p>Each direction has a key of its own, derived from the fleet secret and both nonces, and counts its frames, so that a
 * frame can neither be forged nor replayed, reordered or reflected. Used by one thread.
 */
public final class FrameAuthenticator {
    /** Bytes of the authentication code at the start of a frame. */
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
     * Derives the keys for the end that dialled.
     *
     * @param secret fleet secret
     * @param mine greeting sent by this end
     * @param theirs greeting received
     * @return the authenticator of the dialling end
     */
    public static FrameAuthenticator forDialler(FleetSecret secret, Hello mine, Hello theirs) {
        return new FrameAuthenticator(
                FleetSecret.macOf(key(secret, "dialler", mine, theirs)),
                FleetSecret.macOf(key(secret, "acceptor", mine, theirs)));
    }

    /**
     * Derives the keys for the end that was dialled.
     *
     * @param secret fleet secret
     * @param mine greeting sent by this end
     * @param theirs greeting received
     * @return the authenticator of the accepting end
     */
    public static FrameAuthenticator forAcceptor(FleetSecret secret, Hello mine, Hello theirs) {
        return new FrameAuthenticator(
                FleetSecret.macOf(key(secret, "acceptor", theirs, mine)),
                FleetSecret.macOf(key(secret, "dialler", theirs, mine)));
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
     * Puts the code before a message.
     *
     * @param message content of the next frame
     * @return code and message
     */
    public byte[] seal(byte[] message) {
        byte[] frame = new byte[CODE_BYTES + message.length];
        byte[] code = code(sending, sent++, message, 0);
        System.arraycopy(code, 0, frame, 0, CODE_BYTES);
        System.arraycopy(message, 0, frame, CODE_BYTES, message.length);
        return frame;
    }

    /**
     * Checks the next frame and takes the code off.
     *
     * @param frame code and message as received
     * @return the message, or why it is refused; after a refusal the connection is of no more use
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
