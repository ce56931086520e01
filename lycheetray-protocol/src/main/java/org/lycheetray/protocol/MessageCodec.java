package org.lycheetray.protocol;

import io.vavr.control.Either;
import java.util.Arrays;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.lycheetray.protocol.generated.Envelope;
import org.lycheetray.protocol.generated.Hello;

/** Turns messages into bytes and back, within limits of size and nesting. */
public final class MessageCodec {
    /** Version of the protocol that this code speaks. */
    public static final int PROTOCOL_VERSION = 1;

    /** Largest frame after the greeting, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Largest frame before the sender has proved anything, in bytes. */
    public static final int MAX_HELLO_BYTES = 512;

    /** Fewest bytes of a greeting's nonce. */
    public static final int NONCE_BYTES = 16;

    private static final int MAX_NESTING = 16;
    private static final int INITIAL_BYTES = 256;
    private static final TConfiguration LIMITS = new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, MAX_NESTING);

    private MessageCodec() {}

    /**
     * Writes a message.
     *
     * @param message the message, complete
     * @return its bytes
     * @throws IllegalStateException if a required part is missing
     */
    public static byte[] encode(TBase<?, ?> message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(LIMITS, INITIAL_BYTES);
            message.write(new TCompactProtocol(buffer));
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new IllegalStateException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    /**
     * Reads a greeting and checks its version and nonce.
     *
     * @param bytes the bytes received
     * @return the greeting, or why it is refused
     */
    public static Either<ProtocolError, Hello> decodeHello(byte[] bytes) {
        return decode(bytes, new Hello()).flatMap(MessageCodec::checkHello);
    }

    /**
     * Reads an envelope.
     *
     * @param bytes the bytes of a frame without its code
     * @return the envelope, or why it is refused
     */
    public static Either<ProtocolError, Envelope> decodeEnvelope(byte[] bytes) {
        return decode(bytes, new Envelope());
    }

    /**
     * Reads a message that is sent by itself, without a connection.
     *
     * @param bytes the bytes received
     * @param into an empty message
     * @param <T> type of the message
     * @return the message, or why it is refused
     */
    public static <T extends TBase<?, ?>> Either<ProtocolError, T> decodeAlone(byte[] bytes, T into) {
        return decode(bytes, into);
    }

    private static Either<ProtocolError, Hello> checkHello(Hello hello) {
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            return refuse(ProtocolError.Kind.OTHER_VERSION, "version " + hello.getProtocolVersion());
        }
        if (hello.getVm() == null || hello.getNonce() == null || hello.getNonce().length < NONCE_BYTES) {
            return refuse(ProtocolError.Kind.MALFORMED, "greeting without name or nonce");
        }
        return Either.right(hello);
    }

    private static <T extends TBase<?, ?>> Either<ProtocolError, T> decode(byte[] bytes, T into) {
        try {
            into.read(new TCompactProtocol(new TMemoryInputTransport(LIMITS, bytes)));
            return Either.right(into);
        } catch (TException | RuntimeException e) {
            return refuse(
                    ProtocolError.Kind.MALFORMED, e.getClass().getSimpleName() + " in " + bytes.length + " bytes");
        }
    }

    private static <T> Either<ProtocolError, T> refuse(ProtocolError.Kind kind, String detail) {
        return Either.left(new ProtocolError(kind, detail));
    }
}
