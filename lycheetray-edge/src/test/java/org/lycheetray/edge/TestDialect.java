package org.lycheetray.edge;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.lycheetray.core.allowance.RateStatement;
import org.lycheetray.core.model.Endpoint;
import org.lycheetray.core.model.RegionName;
import org.lycheetray.core.placement.AvailabilityStatement;
import org.lycheetray.core.placement.ReportedLoad;
import org.lycheetray.edge.dialect.BackendDialect;
import org.lycheetray.edge.dialect.CallerDialect;
import org.lycheetray.edge.dialect.LookupDialect;

/** Dialect with short header names for tests. */
public final class TestDialect implements CallerDialect, BackendDialect, LookupDialect {
    @Override
    public Optional<String> requestId(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("X-Id"));
    }

    @Override
    public Optional<Duration> timeout(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("X-Patience")).map(s -> Duration.ofMillis(Long.parseLong(s)));
    }

    @Override
    public Optional<String> accountKey(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("X-Secret"));
    }

    @Override
    public Optional<String> objectName(HttpHeaders headers) {
        return Optional.ofNullable(headers.get("X-Object"));
    }

    @Override
    public void setRequestId(HttpHeaders headers, String requestId) {
        headers.set("X-Id", requestId);
    }

    @Override
    public void setRequestHeaders(HttpHeaders headers, RequestMetadata metadata) {
        headers.remove("X-Secret");
        headers.remove("X-Account");
        metadata.account().ifPresent(a -> headers.set("X-Account", a.value()));
        headers.set("X-Server", metadata.server().value());
        headers.set("X-Patience", Long.toString(metadata.remaining().toMillis()));
    }

    @Override
    public Optional<String> answeredRequestId(HttpHeaders headers) {
        List<String> ids = headers.getAll("X-Id");
        return ids.isEmpty() ? Optional.empty() : Optional.of(String.join(", ", ids));
    }

    @Override
    public boolean isNotRun(int status, HttpHeaders headers) {
        return headers.contains("X-Not-Run");
    }

    @Override
    public boolean isMisdirected(int status) {
        return status == 421;
    }

    @Override
    public boolean isSigned(HttpHeaders headers) {
        return headers.contains("X-Signed");
    }

    @Override
    public Optional<ReportedLoad> reportedLoad(HttpHeaders headers) {
        return Optional.empty();
    }

    @Override
    public Optional<LookupRequest> parseLookup(String uri) {
        return uri.startsWith("/lookup")
                ? Optional.of(new LookupRequest("", Optional.<RegionName>empty()))
                : Optional.empty();
    }

    @Override
    public byte[] formatAnswer(List<Endpoint> vms, Duration ttl) {
        return vms.stream()
                .map(Endpoint::toString)
                .collect(Collectors.joining(","))
                .getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public boolean isReadinessCheck(String uri) {
        return uri.equals("/ready");
    }

    @Override
    public RateStatement rateStatement(HttpHeaders headers) {
        String value = headers.get("X-Limit");
        return value == null ? new RateStatement.Unlimited() : new RateStatement.Limited(Double.parseDouble(value));
    }

    @Override
    public Optional<AvailabilityStatement> availability(int status, HttpHeaders headers) {
        if (headers.contains("X-Leaving")) {
            return Optional.of(new AvailabilityStatement.Leaving());
        }
        return Optional.ofNullable(headers.get("X-Pause-Ms"))
                .map(s -> new AvailabilityStatement.Paused(Duration.ofMillis(Long.parseLong(s))));
    }
}
