package org.lycheetray.daemon.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.time.Duration;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.daemon.http.internal.CallerLimits;
import org.lycheetray.daemon.http.internal.MalformedRequestCounter;
import org.lycheetray.daemon.http.internal.OperatorEndpoints;
import org.lycheetray.daemon.http.internal.RequestEndpoint;
import reactor.core.publisher.Mono;
import reactor.netty.DisposableServer;
import reactor.netty.NettyPipeline;
import reactor.netty.http.HttpProtocol;
import reactor.netty.http.server.HttpServer;
import reactor.netty.http.server.HttpServerRequest;
import reactor.netty.http.server.HttpServerResponse;

/** The HTTP server of an entry VM. Serves callers' requests and the operator endpoints on one port. */
public final class HttpFrontend implements AutoCloseable {
    private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
    private static final int MAX_HEADER_BYTES = 16 * 1024;

    /** Limit of what is decoded at once; small, since a chunk of one byte takes a hundred times its size. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(60);
    private static final Duration READ_TIMEOUT = Duration.ofSeconds(10);

    private final OperatorEndpoints operatorEndpoints;
    private final RequestEndpoint requestEndpoint;
    private final DisposableServer server;

    private HttpFrontend(HttpFrontendDependencies dependencies, Endpoint address, int maxConnections) {
        this.operatorEndpoints = new OperatorEndpoints(dependencies);
        this.requestEndpoint = new RequestEndpoint(dependencies);
        MalformedRequestCounter malformed =
                new MalformedRequestCounter(dependencies.metrics().malformedRequests(), dependencies.clock());
        CallerLimits limits =
                new CallerLimits(maxConnections, Runtime.getRuntime().maxMemory(), dependencies.clock());
        this.server = HttpServer.create()
                .bindAddress(() -> new InetSocketAddress(address.host(), address.port()))
                .protocol(HttpProtocol.HTTP11)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(
                        ChannelOption.RECVBUF_ALLOCATOR, new AdaptiveRecvByteBufAllocator(64, 2 << 10, MAX_READ_BYTES))
                .idleTimeout(IDLE_TIMEOUT)
                .readTimeout(READ_TIMEOUT)
                .doOnChannelInit((_, channel, _) -> addHandlers(channel, limits, malformed))
                .handle(this::handle)
                .bindNow();
    }

    /**
     * Starts the server.
     *
     * @param dependencies the components that handle requests
     * @param address address to listen on
     * @param maxConnections maximum number of open connections
     * @return the running server
     */
    public static HttpFrontend create(HttpFrontendDependencies dependencies, Endpoint address, int maxConnections) {
        return new HttpFrontend(dependencies, address, maxConnections);
    }

    /** Adds the handlers of a connection; the channel that listens has no decoder. */
    private static void addHandlers(Channel channel, CallerLimits limits, MalformedRequestCounter malformed) {
        if (channel.pipeline().get(NettyPipeline.HttpTrafficHandler) != null) {
            limits.add(channel, MAX_REQUEST_LINE_BYTES, MAX_HEADER_BYTES);
            channel.pipeline().addAfter(NettyPipeline.HttpCodec, "malformed-counter", malformed);
        }
    }

    private Mono<Void> handle(HttpServerRequest req, HttpServerResponse res) {
        String uri = req.uri();
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        return switch (path) {
            case "/healthz" -> operatorEndpoints.health(res);
            case "/readyz" -> operatorEndpoints.ready(res);
            case "/metrics" -> operatorEndpoints.metrics(res);
            case "/statusz" -> operatorEndpoints.status(res);
            case "/v1/entry-vms" -> operatorEndpoints.lookup(req, res, query < 0 ? "" : uri.substring(query + 1));
            default -> requestEndpoint.handle(req, res, path);
        };
    }

    /** Ends the requests in progress with a reply that promises nothing, because the VM stops. */
    public void endRequests() {
        requestEndpoint.endRequests();
    }

    @Override
    public void close() {
        server.disposeNow();
    }
}
