package org.lycheetray.daemon.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.daemon.http.internal.BadRequestCounter;
import org.lycheetray.daemon.http.internal.OperatorPages;
import org.lycheetray.daemon.http.internal.RequestEndpoint;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP server of an entry VM, for callers and operators. */
public final class HttpFront implements AutoCloseable {
    private static final int MAX_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final Duration IDLE_LIMIT = Duration.ofSeconds(60);
    private static final Duration HEAD_LIMIT = Duration.ofSeconds(10);

    private final OperatorPages pages;
    private final RequestEndpoint requests;
    private final DisposableServer server;

    private HttpFront(HttpFrontParts parts, Endpoint address) {
        this.pages = new OperatorPages(parts);
        this.requests = new RequestEndpoint(parts);
        BadRequestCounter malformed = new BadRequestCounter(parts.metrics().malformed(), parts.clock());
        this.server = HttpServer.create()
                .bindAddress(() -> new InetSocketAddress(address.host(), address.port()))
                .protocol(HttpProtocol.HTTP11, HttpProtocol.H2C)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .idleTimeout(IDLE_LIMIT)
                .readTimeout(HEAD_LIMIT)
                .httpRequestDecoder(d -> d.maxInitialLineLength(MAX_LINE_BYTES).maxHeaderSize(MAX_HEADER_BYTES))
                .doOnChannelInit((observer, channel, remote) -> watch(channel, malformed))
                .handle(this::handle)
                .bindNow();
    }

    /**
     * Starts to listen.
     *
     * @param parts what the front needs
     * @param address address for callers
     * @return the running front
     */
    public static HttpFront create(HttpFrontParts parts, Endpoint address) {
        return new HttpFront(parts, address);
    }

    private static void watch(Channel channel, BadRequestCounter malformed) {
        if (channel.pipeline().get(NettyPipeline.HttpTrafficHandler) != null) {
            channel.pipeline().addBefore(NettyPipeline.HttpTrafficHandler, "malformed-counter", malformed);
        }
    }

    private Mono<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        String uri = req.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        return switch (path) {
            case "/healthz" -> pages.health(res);
            case "/readyz" -> pages.ready(res);
            case "/metrics" -> pages.metrics(res);
            case "/statusz" -> pages.status(res);
            case "/v1/entry-vms" -> pages.lookup(req, res, query < 0 ? "" : uri.substring(query + 1));
            default -> requests.handle(req, res, path);
        };
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
