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

/** Encodes and decodes messages, with limits on size and nesting depth. */
public final class MessageCodec {
    /** Implemented version of the protocol. */
    public static final int PROTOCOL_VERSION = 1;

    /** Maximum frame size after the greeting, in bytes. */
    public static final int MAX_FRAME_BYTES = 1 << 20;

    /** Maximum size of a greeting, in bytes; small because its sender is not yet authenticated. */
    public static final int MAX_HELLO_BYTES = 512;

    /** Minimum length of a greeting's nonce, in bytes. */
    public static final int NONCE_BYTES = 16;

    private static final int MAX_NESTING_DEPTH = 16;
    private static final int INITIAL_BUFFER_BYTES = 256;
    private static final TConfiguration LIMITS =
            new TConfiguration(MAX_FRAME_BYTES, MAX_FRAME_BYTES, MAX_NESTING_DEPTH);

    private MessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param message message with all required fields set
     * @return the encoded message
     * @throws IllegalStateException if a required field is missing
     */
    public static byte[] encode(TBase<?, ?> message) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(LIMITS, INITIAL_BUFFER_BYTES);
            message.write(new TCompactProtocol(buffer));
            return Arrays.copyOf(buffer.getArray(), buffer.length());
        } catch (TException e) {
            throw new IllegalStateException(
                    "cannot encode " + message.getClass().getSimpleName(), e);
        }
    }

    /**
     * Decodes a greeting and checks its version and nonce.
     *
     * @param bytes the bytes received
     * @return the greeting, or the reason for its rejection
     */
    public static Either<ProtocolError, Hello> decodeHello(byte[] bytes) {
        return decode(bytes, new Hello()).flatMap(MessageCodec::checkHello);
    }

    /**
     * Decodes an envelope.
     *
     * @param bytes content of a frame without its authentication code
     * @return the envelope, or the reason for its rejection
     */
    public static Either<ProtocolError, Envelope> decodeEnvelope(byte[] bytes) {
        return decode(bytes, new Envelope());
    }

    /**
     * Decodes a message that is sent on its own, outside a connection between entry VMs.
     *
     * @param bytes the bytes received
     * @param into empty message to fill
     * @param <T> type of the message
     * @return the message, or the reason for its rejection
     */
    public static <T extends TBase<?, ?>> Either<ProtocolError, T> decodeStandalone(byte[] bytes, T into) {
        return decode(bytes, into);
    }

    private static Either<ProtocolError, Hello> checkHello(Hello hello) {
        if (hello.getProtocolVersion() != PROTOCOL_VERSION) {
            return reject(ProtocolError.Kind.OTHER_VERSION, "version " + hello.getProtocolVersion());
        }
        if (hello.getVm() == null || hello.getNonce() == null || hello.getNonce().length < NONCE_BYTES) {
            return reject(ProtocolError.Kind.MALFORMED, "greeting without a VM name or with a missing or short nonce");
        }
        return Either.right(hello);
    }

    private static <T extends TBase<?, ?>> Either<ProtocolError, T> decode(byte[] bytes, T into) {
        try {
            into.read(new TCompactProtocol(new TMemoryInputTransport(LIMITS, bytes)));
            return Either.right(into);
        } catch (TException | RuntimeException e) {
            return reject(
                    ProtocolError.Kind.MALFORMED, e.getClass().getSimpleName() + " in " + bytes.length + " bytes");
        }
    }

    private static <T> Either<ProtocolError, T> reject(ProtocolError.Kind kind, String detail) {
        return Either.left(new ProtocolError(kind, detail));
    }
}
