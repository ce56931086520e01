package org.lycheetray.edge;

import io.netty.buffer.ByteBuf;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.lycheetray.daemon.request.Body;

/**
 * Collects the bytes of a body without holding more than is reserved for it.
 *
 * <p>A body of known length is collected in one array of that length. Another one is collected in segments, which are
 * copied at its end.
 */
public final class BodyBuffer {
    private static final int MIN_SEGMENT_BYTES = 4 << 10;
    private static final int MAX_SEGMENT_BYTES = 1 << 20;

    private final MemoryBudget.Memory memory;
    private final boolean lengthKnown;
    private final Deque<byte[]> segments = new ArrayDeque<>();
    private final int firstSegmentBytes;
    private int capacity;
    private int length;

    private BodyBuffer(MemoryBudget.Memory memory, boolean lengthKnown, int firstSegmentBytes) {
        this.memory = memory;
        this.lengthKnown = lengthKnown;
        this.firstSegmentBytes = firstSegmentBytes;
    }

    /**
     * Creates a buffer for a body of known length, whose memory has been reserved.
     *
     * @param memory memory in which the body has been reserved
     * @param length length of the body in bytes
     * @return an empty buffer
     */
    public static BodyBuffer ofReserved(MemoryBudget.Memory memory, int length) {
        return new BodyBuffer(memory, true, length);
    }

    /**
     * Creates a buffer for a body whose length is known only at its end.
     *
     * @param memory reserves the memory
     * @return an empty buffer
     */
    public static BodyBuffer ofUnknownLength(MemoryBudget.Memory memory) {
        return new BodyBuffer(memory, false, MIN_SEGMENT_BYTES);
    }

    /**
     * Returns the number of bytes received so far.
     *
     * @return length in bytes
     */
    public int length() {
        return length;
    }

    /**
     * Adds bytes to the body.
     *
     * @param bytes the bytes, which are read
     * @return true if they were added, false if their memory could not be reserved
     */
    public boolean append(ByteBuf bytes) {
        while (bytes.isReadable()) {
            if (length == capacity && !addSegment()) {
                return false;
            }
            byte[] last = segments.getLast();
            int n = Math.min(bytes.readableBytes(), capacity - length);
            bytes.readBytes(last, last.length - (capacity - length), n);
            length += n;
        }
        return true;
    }

    private boolean addSegment() {
        int size = segments.isEmpty() ? firstSegmentBytes : Math.clamp(capacity, MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES);
        boolean reserved = lengthKnown && segments.isEmpty();
        if (!reserved && !memory.tryGrow(size)) {
            return false;
        }
        segments.addLast(new byte[size]);
        capacity += size;
        return true;
    }

    /**
     * Returns the body and forgets it; its memory stays reserved.
     *
     * @return the body, or empty if the memory to copy it could not be reserved
     */
    public Optional<Body> take() {
        if (length == 0) {
            return Optional.of(Body.EMPTY);
        }
        if (lengthKnown) {
            return Optional.of(new Body(segments.removeFirst()));
        }
        if (!memory.tryGrow(length)) {
            return Optional.empty();
        }
        byte[] copy = new byte[length];
        for (int at = 0; !segments.isEmpty(); ) {
            byte[] segment = segments.removeFirst();
            int n = Math.min(segment.length, length - at);
            System.arraycopy(segment, 0, copy, at, n);
            at += n;
        }
        memory.shrink(capacity);
        return Optional.of(new Body(copy));
    }
}
