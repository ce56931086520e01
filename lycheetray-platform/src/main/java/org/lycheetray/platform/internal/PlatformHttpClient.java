package org.lycheetray.platform.internal;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.timeout.ReadTimeoutException;
import java.io.IOException;
import java.io.Serial;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.URLEncoder;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeoutException;
import java.util.function.Predicate;
import org.lycheetray.platform.PlatformException;
import org.lycheetray.platform.PlatformSettings;
import org.lycheetray.platform.wire.PlatformPaths;
import reactor.core.publisher.Mono;
import reactor.netty.http.client.HttpClient;
import reactor.netty.http.client.HttpClientResponse;
import reactor.netty.resources.ConnectionProvider;
import reactor.util.retry.Retry;

/**
 * HTTP client of the platform that distinguishes requests that were certainly not sent from those that may have been.
 *
 * <p>After a timeout all pooled connections are closed, since the cause usually affects the other connections as well and
 * a new connection may succeed.
 */
public final class PlatformHttpClient implements AutoCloseable {
    private static final Duration MAX_IDLE = Duration.ofSeconds(20);
    private static final int MAX_ERROR_BODY_CHARS = 200;

    private final JsonMapper json = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();
    private final PlatformSettings settings;
    private final ConnectionProvider connections;
    private final HttpClient client;
    private final String peer;

    /**
     * Creates a client.
     *
     * @param settings address and limits
     */
    public PlatformHttpClient(PlatformSettings settings) {
        this.settings = settings;
        this.peer = settings.url().getAuthority();
        this.connections = ConnectionProvider.builder("platform")
                .maxConnections(settings.connections())
                .pendingAcquireTimeout(settings.timeout())
                .maxIdleTime(MAX_IDLE)
                .lifo()
                .build();
        this.client = HttpClient.create(connections)
                .baseUrl(settings.url().toString())
                .disableRetry(true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(settings.connectTimeout().toMillis()))
                .responseTimeout(settings.timeout());
    }

    /**
     * Sends a request without retries.
     *
     * @param step operation named in errors
     * @param method HTTP method
     * @param uri path and query
     * @param body request body, may be empty
     * @return the reply with any status, or a {@link TransportException} if none arrived
     */
    Mono<Reply> send(String step, HttpMethod method, String uri, byte[] body) {
        return client.request(method)
                .uri(uri)
                .send((_, out) -> out.send(Mono.fromSupplier(() -> Unpooled.wrappedBuffer(body))))
                .responseSingle((response, content) ->
                        content.asByteArray().defaultIfEmpty(new byte[0]).map(bytes -> toReply(response, bytes)))
                .timeout(settings.timeout())
                .doOnError(PlatformHttpClient::isTimeout, _ -> dropConnections())
                .onErrorMap(e -> new TransportException(step, e));
    }

    /**
     * Sends a request that is safe to repeat, with retries after failures.
     *
     * @param step operation named in errors
     * @param method HTTP method
     * @param uri path and query
     * @param body request body, may be empty
     * @return the reply with a status below 500 other than 429, or a {@link PlatformException}
     */
    Mono<Reply> sendIdempotent(String step, HttpMethod method, String uri, byte[] body) {
        return send(step, method, uri, body)
                .flatMap(r -> r.isUnavailable() ? Mono.error(new UnavailableException(r.bodyExcerpt())) : Mono.just(r))
                .retryWhen(retry(_ -> true))
                .onErrorMap(e -> toPlatformException(step, e));
    }

    /**
     * Returns the retry policy: exponential backoff within the limits of the settings.
     *
     * @param repeatable whether a call that ended in a given failure may be repeated
     * @return the policy
     */
    Retry retry(Predicate<Throwable> repeatable) {
        return Retry.backoff(settings.retries(), settings.retryPause())
                .filter(e ->
                        (e instanceof TransportException || e instanceof UnavailableException) && repeatable.test(e))
                .onRetryExhaustedThrow((_, signal) -> signal.failure());
    }

    /**
     * Converts a failure to the exception for callers.
     *
     * @param step operation named in errors
     * @param e the failure
     * @return the exception
     */
    PlatformException toPlatformException(String step, Throwable e) {
        if (e instanceof PlatformException p) {
            return p;
        }
        Throwable cause = e instanceof TransportException && e.getCause() != null ? e.getCause() : e;
        return new PlatformException(step, peer, String.valueOf(cause), cause);
    }

    /**
     * Creates the exception for a reply with an unexpected status.
     *
     * @param step operation named in errors
     * @param r reply of the platform
     * @return the exception
     */
    PlatformException unexpectedReply(String step, Reply r) {
        return new PlatformException(step, peer, "answered %d %s".formatted(r.status(), r.bodyExcerpt()), null);
    }

    /**
     * Parses the JSON body of a reply.
     *
     * @param <T> type of the body
     * @param step operation named in errors
     * @param r reply of the platform
     * @param type class of the body
     * @return the parsed body
     */
    <T> T parse(String step, Reply r, Class<T> type) {
        try {
            T body = json.readValue(r.body(), type);
            if (body == null) {
                throw new PlatformException(step, peer, "empty response body", null);
            }
            return body;
        } catch (IOException e) {
            throw new PlatformException(step, peer, "cannot parse response: " + e.getMessage(), e);
        }
    }

    /**
     * Serializes a request body to JSON.
     *
     * @param body the value
     * @return its JSON bytes
     */
    byte[] toBytes(Object body) {
        try {
            return json.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(e);
        }
    }

    /**
     * Encodes the value of a query parameter.
     *
     * @param text the plain text
     * @return the encoded text
     */
    static String encode(String text) {
        return URLEncoder.encode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        connections.disposeLater().block(settings.timeout());
    }

    private void dropConnections() {
        connections.disposeWhen(InetSocketAddress.createUnresolved(
                settings.url().getHost(), settings.url().getPort()));
    }

    private static Reply toReply(HttpClientResponse response, byte[] bytes) {
        boolean notWritten = response.responseHeaders().contains(PlatformPaths.NOT_WRITTEN);
        return new Reply(response.status().code(), bytes, notWritten);
    }

    private static boolean isTimeout(Throwable e) {
        return e instanceof TimeoutException || e instanceof ReadTimeoutException;
    }

    /** A response of the platform. */
    static final class Reply {
        private final int status;
        private final byte[] body;
        private final boolean notWritten;

        Reply(int status, byte[] body, boolean notWritten) {
            this.status = status;
            this.body = body;
            this.notWritten = notWritten;
        }

        int status() {
            return status;
        }

        byte[] body() {
            return body;
        }

        /** Returns whether the platform guarantees that nothing was written. */
        boolean notWritten() {
            return notWritten;
        }

        boolean isUnavailable() {
            return status >= HttpResponseStatus.INTERNAL_SERVER_ERROR.code()
                    || status == HttpResponseStatus.TOO_MANY_REQUESTS.code();
        }

        String bodyExcerpt() {
            String all = new String(body, StandardCharsets.UTF_8);
            return all.substring(0, Math.min(all.length(), MAX_ERROR_BODY_CHARS));
        }
    }

    /** Thrown when no response arrived. */
    static final class TransportException extends RuntimeException {
        @Serial
        private static final long serialVersionUID = 1;

        TransportException(String step, Throwable cause) {
            super(step + ": " + cause, cause);
        }

        /** Returns whether the request was certainly not sent. */
        boolean isUnsent() {
            return getCause() instanceof ConnectException
                    || getCause() instanceof ConnectTimeoutException
                    || getCause() instanceof UnknownHostException;
        }
    }

    /** Thrown when the platform responded that it cannot serve the request now. */
    static final class UnavailableException extends RuntimeException {
        @Serial
        private static final long serialVersionUID = 1;

        UnavailableException(String text) {
            super("platform is not available: " + text);
        }
    }
}
