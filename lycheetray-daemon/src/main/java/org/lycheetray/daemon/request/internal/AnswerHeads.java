package org.lycheetray.daemon.request.internal;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import org.lycheetray.daemon.limit.HeadBudget;
import org.lycheetray.daemon.limit.HeadDecoderConfig;
import org.lycheetray.daemon.limit.HeadMemory;
import reactor.netty.NettyPipeline;

/** Counts the memory of the heads of answers on a connection to a backend server. */
final class AnswerHeads extends ChannelInboundHandlerAdapter implements HeadMemory {
    private final HeadBudget.Reservation memory;
    private long bytes;

    private AnswerHeads(HeadBudget.Reservation memory) {
        this.memory = memory;
    }

    /** Replaces the decoder of a connection by one that counts the lines of heads. */
    static void install(Channel channel, HeadBudget budget) {
        AnswerHeads heads = new AnswerHeads(budget.open(() -> {
            var _ = channel.close();
        }));
        HttpClientCodec codec = new HttpClientCodec(
                HeadDecoderConfig.of(
                        HttpObjectDecoder.DEFAULT_MAX_INITIAL_LINE_LENGTH,
                        HttpObjectDecoder.DEFAULT_MAX_HEADER_SIZE,
                        heads),
                HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
                HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE);
        channel.pipeline().replace(NettyPipeline.HttpCodec, NettyPipeline.HttpCodec, codec);
        channel.pipeline().addAfter(NettyPipeline.HttpCodec, "answer-heads", heads);
    }

    @Override
    public boolean tryGrow(long more) {
        if (!memory.tryGrow(more)) {
            return false;
        }
        bytes += more;
        return true;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof LastHttpContent) {
            memory.shrink(bytes);
            bytes = 0;
        }
        ctx.fireChannelRead(message);
    }

    @Override
    public void handlerRemoved(ChannelHandlerContext ctx) {
        memory.close();
    }
}
