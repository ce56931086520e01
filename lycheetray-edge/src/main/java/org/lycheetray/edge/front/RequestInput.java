package org.lycheetray.edge.front;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.lycheetray.core.time.Clock;
import org.lycheetray.core.time.MonotonicTime;
import org.lycheetray.daemon.limit.HeadMemory;
import org.lycheetray.edge.MemoryBudget;

/**
 * The receiving side of a connection: decodes requests, and counts the memory of what has arrived and is not a whole head
 * yet.
 */
final class RequestInput extends ChannelInboundHandlerAdapter implements HeadMemory {
    /** Bytes after which a decoder is replaced between two requests, since it keeps a buffer for its longest line. */
    private static final int MAX_KEPT_BYTES = 4 << 10;

    private final Owner owner;
    private final int maxHeaderBytes;
    private final Clock clock;
    private final MemoryBudget.RequestMemory memory;
    private RequestDecoder decoder;
    private ChannelHandlerContext context;
    private Optional<MonotonicTime> headStartedAt = Optional.empty();
    private boolean headBegun;
    private long decodedBytes;
    private long lineBytes;
    private long bufferBytes;

    /** The connection, which handles the decoded requests. */
    interface Owner {
        /** Returns what is done with bytes that arrive. */
        RequestDecoder.Gate gate();

        /** Returns whether the next bytes are the head of a request. */
        boolean awaitsHead();

        /** Refuses what is arriving, because its memory can't be reserved or is needed by others. */
        void giveUpInput();
    }

    /**
     * Creates the receiving side of a connection.
     *
     * @param owner the connection
     * @param maxHeaderBytes maximum size of the headers of a request
     * @param budget limit of the memory for requests
     * @param clock source of monotonic time
     */
    RequestInput(Owner owner, int maxHeaderBytes, MemoryBudget budget, Clock clock) {
        this.owner = owner;
        this.maxHeaderBytes = maxHeaderBytes;
        this.clock = clock;
        memory = budget.openRequest(Optional.empty(), owner::giveUpInput);
        decoder = newDecoder();
    }

    private RequestDecoder newDecoder() {
        return new RequestDecoder(maxHeaderBytes, this, owner::gate);
    }

    void addTo(ChannelPipeline pipeline) {
        pipeline.addLast(this, decoder);
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object msg) {
        if (msg instanceof ByteBuf b) {
            if (owner.gate() == RequestDecoder.Gate.ENDED) {
                b.release();
                return;
            }
            decodedBytes += b.readableBytes();
            recordArrival();
        }
        ctx.fireChannelRead(msg);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        ctx.fireChannelReadComplete();
        reserveBuffers();
    }

    /**
     * Runs a task after the other connections have had their turn. A task that is executed instead of scheduled may run
     * before them, since the event loop goes on with tasks as long as there are any, up to a limit.
     */
    void schedule(Runnable task) {
        var _ = context.channel().eventLoop().schedule(task, 0, TimeUnit.NANOSECONDS);
    }

    /** Decodes the bytes that arrived while decoding was suspended. */
    void resume() {
        context.fireChannelRead(Unpooled.EMPTY_BUFFER);
        reserveBuffers();
    }

    private void recordArrival() {
        if (headStartedAt.isEmpty() && owner.awaitsHead() && owner.gate() == RequestDecoder.Gate.OPEN) {
            headStartedAt = Optional.of(clock.monotonic());
            memory.markArriving();
        }
    }

    @Override
    public void beginHead() {
        headBegun = true;
    }

    @Override
    public boolean tryGrow(long bytes) {
        lineBytes += bytes;
        return memory.tryGrow(bytes);
    }

    /** Returns the time at which the first bytes of an incomplete head arrived. */
    Optional<MonotonicTime> headStartedAt() {
        return headStartedAt;
    }

    /** Returns the memory of the lines of a head that is complete, and counts it no longer. */
    long completeHead() {
        long lines = lineBytes;
        headStartedAt = Optional.empty();
        headBegun = false;
        lineBytes = 0;
        memory.complete();
        memory.shrink(lines);
        return lines;
    }

    /** Counts nothing any more. */
    void release() {
        headStartedAt = Optional.empty();
        lineBytes = 0;
        bufferBytes = 0;
        memory.close();
    }

    /** Reserves the memory of the bytes that are not decoded, and of the decoder's buffer for a line. */
    private void reserveBuffers() {
        if (owner.gate() == RequestDecoder.Gate.ENDED) {
            return;
        }
        ByteBuf undecoded = decoder.undecodedBytes();
        boolean idle = owner.awaitsHead() && !headBegun && !undecoded.isReadable();
        if (idle) {
            replaceLargeDecoder();
        } else {
            recordArrival();
        }
        long bytes = idle ? 0 : undecoded.capacity() + Math.min(decodedBytes, maxHeaderBytes);
        if (bytes > bufferBytes && !memory.tryGrow(bytes - bufferBytes)) {
            owner.giveUpInput();
            return;
        }
        memory.shrink(Math.max(0, bufferBytes - bytes));
        bufferBytes = bytes;
    }

    private void replaceLargeDecoder() {
        boolean large = decodedBytes > MAX_KEPT_BYTES;
        decodedBytes = 0;
        if (large) {
            RequestDecoder old = decoder;
            decoder = newDecoder();
            context.pipeline().replace(old, null, decoder);
        }
    }
}
