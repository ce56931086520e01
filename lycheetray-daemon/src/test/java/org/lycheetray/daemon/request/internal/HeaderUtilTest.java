package org.lycheetray.daemon.request.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

class HeaderUtilTest {
    private static final String KEY = "the-secret-key";

    private final HttpHeaders headers = new DefaultHttpHeaders().add("Accept", "text/plain");

    @Test
    void passesOrdinaryHeaders() {
        assertThat(passed()).containsExactly("Accept");
    }

    @Test
    void keepsTheKeyFromBackendServers() {
        headers.add("Authorization", "Bearer " + KEY).add("X-Copy", "key=" + KEY);
        assertThat(passed()).containsExactly("Accept");
    }

    @Test
    void dropsWhatConnectionNames() {
        headers.add("Connection", "close, X-Hop").add("X-Hop", "1").add("Transfer-Encoding", "chunked");
        assertThat(passed()).containsExactly("Accept");
    }

    @Test
    void dropsTheSystemsOwnHeadersFromCallers() {
        headers.add("Lycheetray-Account", "somebody-else");
        assertThat(passed()).containsExactly("Accept");
    }

    private Iterable<String> passed() {
        return HeaderUtil.forBackend(headers, KEY).names();
    }
}
