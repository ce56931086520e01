package org.lycheetray.daemon.request.internal;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.junit.jupiter.api.Test;

class HeaderUtilTest {
    private static final String KEY = "the-secret-key";

    private final HttpHeaders headers = new DefaultHttpHeaders().add("Accept", "text/plain");

    @Test
    void forwardsOrdinaryHeaders() {
        assertThat(forwarded()).containsExactly("Accept");
    }

    @Test
    void omitsHeadersThatContainTheKey() {
        headers.add("Authorization", "Bearer " + KEY).add("X-Copy", "key=" + KEY);
        assertThat(forwarded()).containsExactly("Accept");
    }

    @Test
    void omitsHopByHopHeaders() {
        headers.add("Connection", "close, X-Hop").add("X-Hop", "1").add("Transfer-Encoding", "chunked");
        assertThat(forwarded()).containsExactly("Accept");
    }

    @Test
    void omitsReservedHeadersFromCallers() {
        headers.add("Lycheetray-Account", "somebody-else");
        assertThat(forwarded()).containsExactly("Accept");
    }

    private Iterable<String> forwarded() {
        return HeaderUtil.copyForBackend(headers, KEY).names();
    }
}
